#pragma once

#include "tests/system/http_client.h"
#include "tests/system/process.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmon::tests {

/// Options of a Cluster.
struct ClusterOptions
{
    std::string deployment = "bantay-kawan";
    std::vector<std::string> simulatorFlags = {};
    std::vector<std::string> dispatchFlags = {};
    std::vector<std::string> entryFlags = {};
    /// Returns the address of the configuration service to configure in the daemons.
    std::function<std::string(const std::string &address)> serviceAddressFor =
            [](const std::string &address) { return address; };
    /// Addresses that all agents take for those of further agents.
    std::vector<std::string> extraPeers = {};
};

/// Simulator of one deployment and the daemons of six entry hosts, run as processes on separate
/// loopback addresses.
class Cluster
{
public:
    static constexpr int HostCount = 6;

    explicit Cluster(ClusterOptions options = {});
    ~Cluster();

    /// @return IP address of host h1 to h6.
    std::string ip(int host) const;
    /// @return "IP:7100" of the entry of a host.
    std::string entryAddress(int host) const;
    /// @return name of the failure domain of a host.
    const std::string &failureDomain(int host) const { return failureDomains_.at(host - 1); }

    Process &agentProcess(int host) { return agents_.at(host); }
    Process &dispatchProcess(int host) { return dispatchers_.at(host); }
    Process &entryProcess(int host) { return entries_.at(host); }

    void startAgent(int host);
    void startDispatch(int host);
    void startEntry(int host);

    /// Waits until the entry of @p host answers locate requests with an address.
    /// @return false on a timeout.
    bool waitUntilReady(int host);

    /// Sends one query to the entry of a host.
    /// @return the body of the response; null if the connection failed.
    boost::json::value query(int host, const boost::json::object &body);

    /// @return the response of a host to a locate request.
    boost::json::value locate(int host, const std::string &caller);

    /// Makes an id for a non-repeatable request whose home is the entry of @p host.
    /// @return the id; empty if locate never returned this entry.
    std::string makeRequestId(int host, const std::string &unique);

    /// Sends a fault command to the deployment simulator.
    boost::json::value fault(const boost::json::object &command);

    /// @return state and counters of the deployment simulator.
    boost::json::value simulatorState();

    /// @return how often the upstreams executed @p requestId.
    std::size_t executions(const std::string &requestId);

    /// @return row of the host list for the host or upstream @p name; null without one.
    boost::json::value hostRow(const std::string &name);

    HttpClient &httpClient() { return httpClient_; }

private:
    std::vector<std::string> daemonArguments(const std::string &program, int host) const;
    std::string logPath(const std::string &name) const;

    ClusterOptions options_;
    std::string network_;
    std::string logs_;
    std::vector<std::string> failureDomains_;
    HttpClient httpClient_;
    std::map<int, Process> agents_;
    std::map<int, Process> dispatchers_;
    std::map<int, Process> entries_;
    std::vector<Process> simulator_;
};

/// Polls @p condition until it is true or @p limit has passed.
/// @return whether it became true.
bool eventually(const std::function<bool()> &condition,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

} // namespace persimmon::tests
