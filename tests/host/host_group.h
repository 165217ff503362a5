#pragma once

#include "host/host.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/raw_http.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::tests {

/// Hosts in this process, each with its own runtime, that reach each upstream through a proxy of
/// their own. One region; a service for requests that may or may not be repeated, and two shards.
class HostGroup
{
public:
    static constexpr std::chrono::milliseconds RouteTimeout{2000};

    /// Handles a request that was sent to the upstream @c id.
    using RequestHandler =
            std::function<RawResponse(const std::string &id, const std::string &request)>;

    /// @param handler replaces the default response of the upstreams if set.
    /// @param olderHost number of a host whose configuration has version 1 and lacks the route
    ///        /new/; the others have version 2. 0 for none.
    explicit HostGroup(int hostCount, RequestHandler handler = {}, int olderHost = 0);
    ~HostGroup();
    HostGroup(const HostGroup &) = delete;
    HostGroup &operator=(const HostGroup &) = delete;

    /// Sets the mode of the connections from a host to all upstreams.
    void setPath(int host, ProxyMode mode);

    /// Sends one request to a host on a new connection.
    /// @return the response as text.
    std::string call(int host, const std::string &target, const std::string &method = "GET");

    /// @return the bytes of a request with a new id.
    static std::string makeRequest(const std::string &target, const std::string &method = "GET",
                                   std::chrono::milliseconds timeLeft = RouteTimeout);

    /// Starts the planned stop of a host.
    void stopHost(int host);

    /// Ends a host without notice.
    void killHost(int host);

    int frontPort(int host) const;
    const std::string &frontAddress(int host) const;

    /// @return the addresses that the directory of a host names.
    std::string locate(int host) const;

    /// @return the metrics of a host in text format.
    std::string metrics(int host) const;

    /// @return number of requests that a host has offered to other hosts.
    int passedOnCount(int host) const;

    /// @return the number of requests whose connection was closed while an upstream handled them.
    int abandonedCount() const;

    /// @return number of executions by request id and upstream.
    std::map<std::pair<std::string, std::string>, int> executions() const;

    /// @return number of requests that an upstream has executed.
    int executionCount(const std::string &upstream) const;

    static bool waitUntil(const std::function<bool()> &condition,
                          std::chrono::milliseconds limit = std::chrono::seconds(10));

private:
    struct Host;

    RawResponse handleRequest(const std::string &id, const std::string &request);
    void startHost(int number, int hostCount);
    host::HostHooks makeHooks(Host &host);

    const RequestHandler handler_;
    const int olderHost_;
    std::vector<state::StoreRecord> records_;
    mutable std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, int> executions_;
    std::map<std::string, std::unique_ptr<RawUpstream>> upstreams_;
    std::vector<std::string> controlAddresses_;
    std::map<int, std::unique_ptr<Host>> hosts_;
};

} // namespace persimmon::tests
