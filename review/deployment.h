#pragma once

#include "review/server.h"
#include "standin/standin.h"
#include "tests/system/process.h"

#include <map>
#include <memory>

namespace persimmon::review {

/// Answer that a client got.
struct ClientAnswer
{
    /// 0 if the connection ended without a complete answer.
    int status = 0;
    std::string message;
};

/// A small deployment on loopback addresses: hosts as separate processes, started by the command of
/// the deploy file, and the platform's store and servers as stand-ins in this process. Each host
/// has an address and a failure domain of its own.
class Deployment
{
public:
    static constexpr int FrontPort = 8104;

    /// @param hostCount number of hosts, each in a failure domain of its own.
    Deployment(int hostCount, Record &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts a server and registers it in the store.
    Server &addServer(ServerOptions options);

    /// Writes the configuration to the store.
    void publish(const std::string &config) { store_.put("op/config", config); }

    standin::SimulatedKeyValueStore &store() { return store_; }

    /// Starts all hosts.
    /// @return whether all of them and the stand-ins became ready.
    bool start();

    tests::Process &process(int host) { return *processes_.at(host); }

    std::string hostIp(int host) const { return network_ + "." + std::to_string(host); }

    /// @return the failure domain of a host.
    static std::string domainOf(int host) { return "zone-" + std::to_string(host); }

    int hostCount() const { return hostCount_; }

    /// Sends a request on a new connection and waits for the answer.
    ClientAnswer call(int host, const std::string &method, const std::string &path,
                      const std::string &requestId, const std::string &body = "",
                      std::chrono::milliseconds deadline = std::chrono::milliseconds(2500));

private:
    void writeSettings(int host) const;
    std::string settingsPath(int host) const;
    bool waitUntilReady(int host) const;

    const int hostCount_;
    Record &record_;
    /// The first three octets of all addresses.
    std::string network_;
    std::string directory_;
    transport::Runtime runtime_{2};
    standin::SimulatedKeyValueStore store_;
    bool storeListens_ = false;
    std::vector<std::unique_ptr<Server>> servers_;
    std::map<int, std::unique_ptr<tests::Process>> processes_;
};

/// @return a configuration with the routes as JSON objects, and entries for the services.
std::string makeConfig(int version, const std::vector<std::string> &routes,
                       const std::vector<std::string> &services);

/// @return the id of the request with this number of one client.
std::string makeRequestId(const std::string &prefix, int number);

} // namespace persimmon::review
