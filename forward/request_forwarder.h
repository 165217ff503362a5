#pragma once

#include "forward/service_set.h"

#include <cstdint>
#include <memory>
#include <string>

namespace persimmon::forward {

/// Settings of the forwarder.
struct ForwarderOptions
{
    HeaderNames names;
    /// Tokens that each first execution adds to the extra-load budget of its service.
    double extraLoad = 0.05;
    /// Time that an answer needs back to the caller.
    std::chrono::milliseconds returnTime{26};
};

/// Serves the requests of callers: finds the route, forwards to one service or to all shards, and
/// makes the answer. For one-thread runtimes only.
class RequestForwarder
{
public:
    RequestForwarder(transport::Runtime &runtime, transport::Metrics &metrics, ForwardPool &pool,
                     ServiceSet &services, ForwarderOptions options);

    /// Takes a new version of the configuration. Running requests keep theirs.
    void setRoutes(std::shared_ptr<const state::RouteTable> routes) { routes_ = std::move(routes); }

    /// Takes the tokens that each first execution adds to the extra-load budget of its service.
    void setExtraLoad(double tokens) { options_.extraLoad = tokens; }

    /// @return the configuration in force, or null.
    const std::shared_ptr<const state::RouteTable> &routes() const { return routes_; }

    /// @return number of sub-requests that were made since the start.
    std::uint64_t subRequests() const { return nextId_ - 1; }

    /// Serves one request.
    /// @param watch tells when the caller is gone; its hook is set here.
    boost::asio::awaitable<FrontAnswer> serve(std::shared_ptr<const ForwardRequest> request,
                                              std::shared_ptr<CallerWatch> watch);

private:
    /// One request with the version of the configuration that it started with.
    struct Call
    {
        std::shared_ptr<const ForwardRequest> request;
        std::shared_ptr<CallerWatch> watch;
        std::shared_ptr<const state::RouteTable> routes;
        const state::Route *route = nullptr;
        /// When the caller must have the answer.
        transport::TimePoint deadline;
    };
    /// Sub-requests of a call that have no reply yet, and where to cancel them.
    struct Pending
    {
        dispatch::ServiceExecutor *executor = nullptr;
        std::uint64_t id = 0;
        bool replied = false;
    };

    boost::asio::awaitable<FrontAnswer> serveSingle(Call call);
    boost::asio::awaitable<FrontAnswer> serveGather(Call call);
    dispatch::ServiceJob makeJob(const Call &call);
    boost::asio::awaitable<state::AttemptResult>
    runAttempt(std::shared_ptr<const ForwardRequest> request, state::StartAttempt action,
               transport::TimePoint deadline, bool repeatable);
    FrontAnswer refuse(const Call &call, const std::string &reason, transport::Duration wait);
    FrontAnswer fail(const Call &call, int status, const std::string &reason);
    FrontAnswer answerSingle(const Call &call, const std::string &service,
                             const state::SubReply &reply);
    FrontAnswer answerGather(const Call &call, const state::GatherRun &run);
    bool canReachLeast(const Call &call) const;
    void record(const Call &call, const FrontAnswer &answer, const std::string &outcome,
                std::initializer_list<transport::LogField> fields);

    transport::Runtime &runtime_;
    transport::Metrics &metrics_;
    ForwardPool &pool_;
    ServiceSet &services_;
    ForwarderOptions options_;
    std::shared_ptr<const state::RouteTable> routes_;
    std::map<std::string, state::WeightedSplit> splits_;
    std::uint64_t nextId_ = 1;
};

} // namespace persimmon::forward
