#pragma once

#include "standin/standin.h"
#include "tests/support/raw_http.h"
#include "tests/system/process.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace persimmon::tests {

/// Upstreams of a PlatformCluster, and the addresses at which hosts reach them and the store.
struct PlatformClusterOptions
{
    static constexpr int DefaultHostCount = 3;

    /// Handles a complete request whose X-Expect-Instance is the id of the upstream.
    using RequestHandler =
            std::function<RawResponse(const std::string &id, const std::string &request)>;

    /// Service of each upstream, by id.
    std::map<std::string, std::string> serviceOf{{"a1", "shard-a"}, {"a2", "shard-a"},
                                                 {"b1", "shard-b"}, {"b2", "shard-b"},
                                                 {"p1", "pay"},     {"p2", "pay"}};
    /// Number of hosts, from 1. With more than state::StoreReaderCount, some follow peers in place
    /// of the store.
    int hostCount = DefaultHostCount;
    /// Failure domain of each upstream, by id; z1 for others.
    std::map<std::string, std::string> failureDomainOf = {};
    /// Whether each failure domain is a region of its own; otherwise there is one region.
    bool hasRegions = false;
    /// Time that upstreams take for the default response of PlatformCluster.
    std::chrono::milliseconds responseTime{5};
    /// Replaces the default response of PlatformCluster if set.
    RequestHandler requestHandler = {};
    /// Returns the address to register for an upstream, for example that of a proxy in front of it.
    std::function<std::string(const std::string &id, const std::string &address)>
            upstreamAddressFor =
                    [](const std::string & /*id*/, const std::string &address) { return address; };
    /// Returns the address of the store to configure in a host.
    std::function<std::string(int host, const std::string &address)> storeAddressFor =
            [](int /*host*/, const std::string &address) { return address; };
    /// Returns the path of the program of a host.
    std::function<std::string(int host)> programFor = [](int /*host*/) {
        return std::string(PERSIMMON_BINARY_DIR) + "/persimmon-host";
    };
    /// Addresses that all hosts take for the control addresses of further hosts.
    std::vector<std::string> extraSeeds = {};
};

/// Entry hosts of the platform as child processes, with the store and the upstreams in this
/// process. By default one region, two shards of two upstreams each, and a service for
/// non-idempotent requests.
class PlatformCluster
{
public:
    /// Number of hosts unless the options set another one.
    static constexpr int HostCount = PlatformClusterOptions::DefaultHostCount;
    /// Time for which callers may cache responses of the directory.
    static constexpr int DefaultTtlSeconds = 2;

    explicit PlatformCluster(PlatformClusterOptions options = {});
    ~PlatformCluster();
    PlatformCluster(const PlatformCluster &) = delete;
    PlatformCluster &operator=(const PlatformCluster &) = delete;

    void startHost(int host);
    int hostCount() const { return options_.hostCount; }
    Process &process(int host) { return *processes_.at(host); }
    const Process &process(int host) const { return *processes_.at(host); }
    standin::SimulatedKeyValueStore &store() { return store_; }

    /// Writes a configuration whose scatter-gather route has @p prefix.
    void publishConfig(std::uint64_t version, const std::string &prefix);

    /// Registers an upstream, or changes its state. The sequence number of the registration rises
    /// with each call.
    void registerUpstream(const std::string &id, const std::string &state);

    /// Registers a new incarnation of an upstream.
    void registerRestart(const std::string &id);

    /// Removes the registration of an upstream.
    void deregisterUpstream(const std::string &id);

    /// Starts or ends the evacuation of a failure domain.
    void setEvacuated(const std::string &domain, bool evacuated);

    /// @return whether the host reports readiness within @p limit.
    bool waitUntilReady(int host, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// @return whether @p condition became true within @p limit.
    static bool waitUntil(const std::function<bool()> &condition,
                          std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// Sends one request to a host on a new connection.
    /// @return the response as text.
    std::string call(int host, const std::string &target, const std::string &method = "GET") const;

    /// Sends one request with the request id @p id.
    std::string callWithId(const std::string &id, int host, const std::string &target,
                           const std::string &method = "GET") const;

    /// Rewrites the settings file of a host with another caching time for callers.
    void changeSettings(int host, int ttlSeconds);

    /// Replaces the settings file of a host by one that cannot be parsed.
    void writeInvalidSettings(int host);

    /// @return "127.0.0.1:port" of the front listener of a host.
    std::string frontAddress(int host) const;

    /// @return port of the front listener of a host.
    int frontPort(int host) const { return ports_.at(host).front; }

    /// @return the last line that a host logged.
    std::string lastLogLine(int host) const;

    /// @return the directory's response of a host, which lists the addresses for callers.
    std::string locate(int host) const;

    /// @return the metrics of a host in text format.
    std::string metrics(int host) const;

    /// @return number of executions by request id.
    std::map<std::string, int> executionCounts() const;

    /// Makes the upstreams execute requests and close the connection instead of responding.
    void dropResponses(bool drop) { dropResponses_ = drop; }

    /// @return number of requests that an upstream received.
    std::size_t receivedRequestCount(const std::string &id) const;

    /// @return number of requests with an id that begins with @p prefix that an upstream received.
    std::size_t receivedRequestCount(const std::string &id, const std::string &prefix) const;

private:
    struct Ports
    {
        int front = 0;
        int directory = 0;
        int ready = 0;
        int control = 0;
        int metrics = 0;
    };

    RawResponse handleRequest(const std::string &id, const std::string &request);
    void writeSettings(int host, int ttlSeconds = DefaultTtlSeconds) const;
    std::string settingsPath(int host) const;
    std::string logPath(int host) const;

    const PlatformClusterOptions options_;
    std::string directory_;
    transport::Runtime runtime_{2};
    standin::SimulatedKeyValueStore store_;
    std::string storeAddress_;
    std::map<int, Ports> ports_;
    std::map<std::string, std::string> addresses_;
    mutable std::mutex mutex_;
    std::map<std::string, int> sequences_;
    std::map<std::string, int> incarnations_;
    std::map<std::string, int> executionCounts_;
    std::atomic<bool> dropResponses_ = false;
    std::map<std::string, std::unique_ptr<RawUpstream>> upstreams_;
    std::map<int, std::unique_ptr<Process>> processes_;
};

} // namespace persimmon::tests
