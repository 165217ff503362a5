#pragma once

#include "tests/system/http_caller.h"
#include "tests/system/process.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmon::tests {

/// How a cluster is started.
struct ClusterOptions
{
    std::string deployment = "bantay-kawan";
    std::vector<std::string> standinFlags = {};
    std::vector<std::string> dispatchFlags = {};
    std::vector<std::string> entryFlags = {};
};

/// The stand-ins of one deployment and the six entry hosts, as real processes on loopback addresses
/// of their own.
class Cluster
{
public:
    static constexpr int HostCount = 6;

    explicit Cluster(ClusterOptions options = {});
    ~Cluster();

    /// @return IP number of host h1 to h6.
    std::string ip(int host) const;
    /// @return "IP:7100" of the entry of a host.
    std::string entry(int host) const;
    /// @return name of the failure domain of a host.
    const std::string &failureDomain(int host) const { return domains_.at(host - 1); }

    Process &agentProcess(int host) { return agents_.at(host); }
    Process &dispatchProcess(int host) { return dispatchers_.at(host); }
    Process &entryProcess(int host) { return entries_.at(host); }

    void startAgent(int host);
    void startDispatch(int host);
    void startEntry(int host);

    /// Waits until the entry of @p host answers locate requests.
    bool waitUntilReady(int host);

    /// Sends one query to the entry of a host.
    /// @return the body of the answer; null when the connection broke.
    boost::json::value query(int host, const boost::json::object &body);

    /// @return the locate answer of a host.
    boost::json::value locate(int host, const std::string &caller);

    /// Makes an id for a non-repeatable request whose home is the entry of @p host.
    std::string makeRequestId(int host, const std::string &unique);

    /// Sends a fault command to the stand-in.
    boost::json::value fault(const boost::json::object &command);

    /// @return counters of the stand-in.
    boost::json::value standinState();

    /// @return how often the upstreams executed @p requestId.
    std::size_t executions(const std::string &requestId);

    /// @return row of the host list for a host or upstream of this name.
    boost::json::value hostRow(const std::string &name);

    HttpCaller &caller() { return caller_; }

private:
    std::vector<std::string> daemonArguments(const std::string &program, int host) const;
    std::string logPath(const std::string &name) const;

    ClusterOptions options_;
    std::string network_;
    std::string logs_;
    std::vector<std::string> domains_;
    HttpCaller caller_;
    std::map<int, Process> agents_;
    std::map<int, Process> dispatchers_;
    std::map<int, Process> entries_;
    std::vector<Process> standin_;
};

/// Repeats @p condition until it holds or @p limit is over.
/// @return whether it held.
bool eventually(const std::function<bool()> &condition,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

} // namespace persimmon::tests
