#pragma once

#include "forward/caller_reply.h"
#include "forward/crash_gate.h"
#include "forward/peer_relay.h"
#include "forward/service_executors.h"
#include "forward/upstream_path_monitor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace persimmon::forward {

/// Settings of RequestForwarder.
struct ForwarderOptions
{
    HeaderNames names;
    /// Tokens that the first attempt of each sub-request adds to the extra-load budget of its
    /// service.
    double extraLoadTokens = 0.05;
    /// Time that is reserved for the transfer of a response to the caller.
    std::chrono::milliseconds returnLatency{26};
    /// Returns the region of a failure domain, for log lines.
    std::function<std::string(const std::string &failureDomain)> regionOf =
            [](const std::string & /*failureDomain*/) { return std::string(); };
};

/// Serves the requests of callers: finds the route, forwards the request to one service or to all
/// shards, and builds the response. Requires a single-threaded runtime.
class RequestForwarder
{
public:
    RequestForwarder(transport::Runtime &runtime, transport::Metrics &metrics,
                     ForwardingClient &client, ServiceExecutors &services, CrashGate &crashGate,
                     UpstreamPathMonitor &path, PeerRelay &relay, ForwarderOptions options);

    /// Passes on the requests that wait for upstreams in vain, while the path to these is lost.
    void passOnWaiting();

    /// Applies a new version of the configuration to subsequent requests. Active requests keep the
    /// version that they started with.
    void setRoutes(std::shared_ptr<const state::RouteTable> routes) { routes_ = std::move(routes); }

    /// Sets the tokens that the first attempt of each sub-request adds to the extra-load budget of
    /// its service.
    void setExtraLoadTokens(double tokens) { options_.extraLoadTokens = tokens; }

    /// Answers all requests by @p time, since the process ends soon after it. From now on, requests
    /// that may take longer are refused.
    void finishBy(transport::TimePoint time);

    /// @return the active configuration; null if none was received yet.
    const std::shared_ptr<const state::RouteTable> &routes() const { return routes_; }

    /// @return the number of sub-requests since the start of the process.
    std::uint64_t subRequestCount() const { return nextId_ - 1; }

    /// Serves one request.
    /// @param monitor reports when the caller disconnects; this function sets its callback.
    boost::asio::awaitable<CallerResponse> serve(std::shared_ptr<const ForwardRequest> request,
                                                 std::shared_ptr<CallerMonitor> monitor);

private:
    /// State of one request, including the version of the configuration that it started with.
    struct RequestContext
    {
        std::shared_ptr<const ForwardRequest> request;
        std::shared_ptr<CallerMonitor> monitor;
        std::shared_ptr<const state::RouteTable> routes;
        const state::Route *route = nullptr;
        std::shared_ptr<AttemptTrace> trace = std::make_shared<AttemptTrace>();
        /// Time by which the caller must have the response.
        transport::TimePoint deadline{};
    };
    /// The sub-request of one shard and the executor that it was submitted to.
    struct ShardSubRequest
    {
        dispatch::ServiceExecutor *executor = nullptr;
        std::uint64_t id = 0;
        bool replied = false;
    };

    /// Finds the route of a request and forwards it.
    boost::asio::awaitable<CallerReply> serveRoute(RequestContext &context);
    /// Forwards a request to upstreams, or passes it on to another host.
    boost::asio::awaitable<CallerReply> serveActive(const RequestContext &context);
    /// @return std::nullopt if the path to the upstreams was lost and another host can serve the
    ///         request.
    boost::asio::awaitable<std::optional<CallerReply>> serveSingle(const RequestContext &context);
    boost::asio::awaitable<std::optional<CallerReply>> serveGather(const RequestContext &context);
    /// Passes a request on to another host.
    /// @return std::nullopt if there is none.
    boost::asio::awaitable<std::optional<CallerReply>> serveByPeer(const RequestContext &context);
    /// @return whether a host that answered in place of this one has a newer configuration. This
    ///         host must not go back to its own one.
    bool isBehindPeers(const RequestContext &context) const;
    /// @return whether another host can serve the request.
    bool hasPeerFor(const RequestContext &context) const;
    /// @return whether a request that waits for upstreams should be passed on, since this host has
    ///         lost its path to them and open connections bring no responses either.
    bool mustPassOn(const RequestContext &context) const;
    /// @return whether a new request may be completed before the time of finishBy().
    bool fitsBeforeStop(const RequestContext &context) const;
    boost::asio::awaitable<void> wakeAllAt(transport::TimePoint time);
    dispatch::ServiceJob makeJob(const RequestContext &context);
    boost::asio::awaitable<state::AttemptResult>
    runAttempt(std::shared_ptr<const ForwardRequest> request, std::shared_ptr<AttemptTrace> trace,
               state::StartAttempt action, transport::TimePoint deadline, bool idempotent,
               std::shared_ptr<UsedConnections> used);
    CallerReply makeSingleReply(const RequestContext &context, const std::string &service,
                                const state::SubReply &result) const;
    CallerReply makeGatherReply(const RequestContext &context, const state::GatherRun &run) const;
    /// Replaces a response whose status states that the request was not executed, unless that is
    /// certain. All responses to callers pass through here.
    CallerReply withTrueStatus(const RequestContext &context, CallerReply reply) const;
    /// @return the time until enough shards of a gathered request have an upstream that accepts it,
    ///         0 if they have one now, or std::nullopt if too few will.
    std::optional<transport::Duration> gatherWait(const RequestContext &context) const;
    void recordResult(const RequestContext &context, const CallerReply &reply);

    transport::Runtime &runtime_;
    transport::Metrics &metrics_;
    ForwardingClient &client_;
    ServiceExecutors &services_;
    CrashGate &crashGate_;
    UpstreamPathMonitor &path_;
    PeerRelay &relay_;
    ForwarderOptions options_;
    std::shared_ptr<const state::RouteTable> routes_;
    std::map<std::string, state::WeightedSplit> splits_;
    std::set<std::shared_ptr<AttemptTrace>> active_;
    transport::TimePoint stopAt_ = transport::TimePoint::max();
    std::uint64_t nextId_ = 1;
};

} // namespace persimmon::forward
