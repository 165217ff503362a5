#pragma once

#include "review/standin/host_process.h"
#include "review/standin/platform_store.h"
#include "review/standin/upstream_server.h"

#include <fstream>
#include <memory>

namespace persimmon::review {

/// Exit statuses of a case.
enum class CaseResult { Held = 0, Broken = 1, NotRun = 2 };

/// Writes what was sent, answered and run to a file, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path) : file_(path) {}

    void write(const std::string &line) { write(std::chrono::steady_clock::now(), line); }
    void write(SteadyTime time, const std::string &line);
    SteadyTime start() const { return start_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    const SteadyTime start_ = std::chrono::steady_clock::now();
};

/// Hosts, the store and the record of one case. The destructor ends all processes.
class CaseRun
{
public:
    /// @param recordPath file for the record.
    /// @param places zone and region of each host.
    CaseRun(const std::string &recordPath, std::vector<HostPlace> places);
    ~CaseRun();
    CaseRun(const CaseRun &) = delete;
    CaseRun &operator=(const CaseRun &) = delete;

    /// @return whether the disruption takes place: the variable TROUBLE is not 0.
    static bool hasTrouble();

    /// Starts all hosts.
    /// @return whether all became ready.
    bool startHosts();

    /// Starts an upstream and registers it in the store.
    UpstreamServer &addUpstream(const std::string &id, const std::string &service,
                                const std::string &zone, const UpstreamBehaviour &behaviour,
                                std::chrono::milliseconds coldTime = {});

    /// Writes a configuration to the store.
    /// @param routes JSON of the routes.
    void publishConfig(int version, const std::string &routes,
                       const std::vector<std::string> &services);

    /// Sends a request on a new connection.
    /// @param address of a host for callers.
    /// @return the response, or std::nullopt if the connection ended without one.
    static std::optional<HttpMessage> call(const SocketAddress &address, const std::string &path,
                                           const std::string &requestId);

    /// Sends a request to the host with this number.
    std::optional<HttpMessage> call(int host, const std::string &path,
                                    const std::string &requestId) const;

    /// Asks the directory of a host where a caller in @p place should connect.
    /// @return numbers of the hosts that the answer names.
    std::vector<int> locate(int host, const HostPlace &place) const;

    /// Writes the requests that the upstreams ran to the record.
    void recordArrivals();

    /// Writes the verdict to the record.
    int finish(CaseResult result, const std::string &reason);

    Record &record() { return record_; }
    PlatformStore &store() { return *store_; }
    const std::vector<std::unique_ptr<HostProcess>> &hosts() const { return hosts_; }
    const std::vector<std::unique_ptr<UpstreamServer>> &upstreams() const { return upstreams_; }
    /// @return a loopback address for the stand-ins.
    const std::string &standInIp() const { return standInIp_; }

private:
    Record record_;
    const std::vector<HostPlace> places_;
    std::string directory_;
    std::string standInIp_;
    std::unique_ptr<PlatformStore> store_;
    std::vector<std::unique_ptr<UpstreamServer>> upstreams_;
    std::vector<std::unique_ptr<HostProcess>> hosts_;
};

} // namespace persimmon::review
