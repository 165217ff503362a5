#include "forward/request_forwarder.h"

#include "forward/response_status.h"

#include <algorithm>
#include <functional>
#include <random>

namespace asio = boost::asio;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";
std::uint32_t workClassOf(const state::Route &route)
{
    return static_cast<std::uint32_t>(std::hash<std::string>{}(route.name));
}

std::string formatMilliseconds(transport::Duration time)
{
    return std::to_string(std::chrono::round<std::chrono::milliseconds>(time).count());
}

/// @return the names separated by spaces.
template <typename Names>
std::string joinNames(const Names &names)
{
    std::string text;
    for (const auto &name : names)
        text.append(text.empty() ? "" : " ").append(name);
    return text;
}

} // namespace

RequestForwarder::RequestForwarder(transport::Runtime &runtime, transport::Metrics &metrics,
                                   ForwardingClient &client, ServiceExecutors &services,
                                   CrashGate &crashGate, UpstreamPathMonitor &path,
                                   PeerRelay &relay, ForwarderOptions options)
    : runtime_(runtime),
      metrics_(metrics),
      client_(client),
      services_(services),
      crashGate_(crashGate),
      path_(path),
      relay_(relay),
      options_(std::move(options))
{
}

asio::awaitable<CallerResponse>
RequestForwarder::serve(std::shared_ptr<const ForwardRequest> request,
                        std::shared_ptr<CallerMonitor> monitor)
{
    RequestContext context{std::move(request), std::move(monitor), routes_};
    auto reply = co_await serveRoute(context);
    reply = withTrueStatus(context, std::move(reply));
    recordResult(context, reply);
    crashGate_.onFinished(*context.request, *context.trace);
    if (context.request->passedOn)
        addPeerRemarks(reply.response, options_.names, context.request->id,
                       {context.routes ? context.routes->config().version : 0, reply.hostRefusal});
    co_return std::move(reply.response);
}

asio::awaitable<CallerReply> RequestForwarder::serveRoute(RequestContext &context)
{
    if (!context.routes)
        co_return refuseOnThisHost("no_configuration", DefaultRetryAfter);
    const auto &passedOn = context.request->passedOn;
    if (passedOn && context.routes->config().version < passedOn->configVersion)
        co_return refuseOnThisHost("older_configuration", DefaultRetryAfter);
    context.route = context.routes->find(context.request->host, context.request->target);
    if (context.route == nullptr && isBehindPeers(context))
        co_return refuseOnThisHost("older_configuration", DefaultRetryAfter);
    if (context.route == nullptr)
        co_return failCaller(NotFoundStatus, "no_route");
    transport::Duration time = context.route->timeout;
    if (context.request->callerTimeout)
        time = std::min<transport::Duration>(time, *context.request->callerTimeout);
    context.deadline = context.request->receivedAt + time;
    if (!fitsBeforeStop(context))
        co_return refuseOnThisHost("shutting_down", MinRetryAfter);
    context.deadline = std::min(context.deadline, stopAt_);
    const auto quarantine = crashGate_.quarantineTimeLeft(*context.request);
    if (quarantine)
        co_return refuseCaller("quarantined", *quarantine);
    active_.insert(context.trace);
    auto reply = co_await serveActive(context);
    active_.erase(context.trace);
    co_return reply;
}

asio::awaitable<CallerReply> RequestForwarder::serveActive(const RequestContext &context)
{
    std::optional<CallerReply> reply;
    const bool passesOn = (isBehindPeers(context) || !path_.shouldServe()) && hasPeerFor(context);
    if (!passesOn && path_.isLost())
        co_return refuseOnThisHost("no_path", state::UpstreamReachability::TrialInterval);
    if (!passesOn && context.route->isGather())
        reply = co_await serveGather(context);
    else if (!passesOn)
        reply = co_await serveSingle(context);
    if (!reply)
        reply = co_await serveByPeer(context);
    if (!reply)
        reply = refuseOnThisHost("no_path", state::UpstreamReachability::TrialInterval);
    co_return std::move(*reply);
}

bool RequestForwarder::isBehindPeers(const RequestContext &context) const
{
    return !context.request->passedOn
           && context.routes->config().version < relay_.latestConfigVersion();
}

bool RequestForwarder::hasPeerFor(const RequestContext &context) const
{
    return !context.request->passedOn && relay_.hasPeer(context.route->homeRegions);
}

bool RequestForwarder::mustPassOn(const RequestContext &context) const
{
    return path_.isSilent() && context.route->idempotent && hasPeerFor(context);
}

void RequestForwarder::passOnWaiting()
{
    for (const auto &trace : active_)
        trace->wake();
}

asio::awaitable<std::optional<CallerReply>>
RequestForwarder::serveByPeer(const RequestContext &context)
{
    const auto call = std::make_shared<RelayCall>();
    context.trace->wake = [this, call, monitor = context.monitor] {
        const bool ends = monitor->disconnected || runtime_.clock().now() >= stopAt_;
        if (ends)
            relay_.cancel(*call);
    };
    context.monitor->onDisconnect = context.trace->wake;
    RelayTerms terms;
    terms.deadline = context.deadline;
    terms.idempotent = context.route->idempotent;
    terms.configVersion = context.routes->config().version;
    terms.regions = context.route->homeRegions;
    const auto relayed = co_await relay_.pass(call, context.request, std::move(terms));
    context.monitor->onDisconnect = [] {};
    context.trace->wake = [] {};
    context.trace->mayHaveExecuted = context.trace->mayHaveExecuted || relayed.mayHaveExecuted;
    if (relayed.response)
        co_return CallerReply{*relayed.response, "passed_to_host", {{"host", relayed.peer}}};
    if (call->cancelled)
        co_return failCaller(GatewayTimeoutStatus,
                             context.monitor->disconnected ? "caller_gone" : "shutting_down");
    if (runtime_.clock().now() >= context.deadline)
        co_return failCaller(GatewayTimeoutStatus, "deadline");
    if (relayed.mayHaveExecuted)
        co_return failCaller(BadGatewayStatus, "host_lost");
    co_return std::nullopt;
}

CallerReply RequestForwarder::withTrueStatus(const RequestContext &context, CallerReply reply) const
{
    const int status = reply.response.status;
    if (!statesNotExecuted(status) || context.trace->isUnexecuted())
        return reply;
    // The signature stands for the upstream's own status and is left out with its other fields.
    auto corrected = failCaller(BadGatewayStatus, "status_states_not_executed");
    corrected.fields.push_back({"replaced_status", std::to_string(status)});
    corrected.fields.insert(corrected.fields.end(), reply.fields.begin(), reply.fields.end());
    return corrected;
}

bool RequestForwarder::fitsBeforeStop(const RequestContext &context) const
{
    if (stopAt_ == transport::TimePoint::max())
        return true;
    // A request that may be repeated is accepted if it is likely to fit: it can be sent again after
    // an answer without a result.
    constexpr int GoalFactor = 2;
    const auto now = runtime_.clock().now();
    const auto longest = context.deadline - now;
    const auto likely = std::min<transport::Duration>(longest, context.route->goal * GoalFactor);
    return now + (context.route->idempotent ? likely : longest) <= stopAt_;
}

void RequestForwarder::finishBy(transport::TimePoint time)
{
    stopAt_ = time;
    runtime_.spawn(wakeAllAt(time));
}

asio::awaitable<void> RequestForwarder::wakeAllAt(transport::TimePoint time)
{
    co_await runtime_.clock().sleep(time - runtime_.clock().now());
    for (const auto &trace : active_)
        trace->wake();
}

dispatch::ServiceJob RequestForwarder::makeJob(const RequestContext &context)
{
    dispatch::ServiceJob job;
    job.work.id = nextId_++;
    job.work.priority = context.route->priority;
    job.work.repeatable = context.route->idempotent;
    job.work.extraLoad = options_.extraLoadTokens;
    job.work.deadline = context.deadline;
    job.work.workClass = workClassOf(*context.route);
    job.work.upstreamLimit = context.route->upstreamLimit;
    job.work.needsSuccess = context.route->isGather();
    job.execute = [this, request = context.request, trace = context.trace,
                   deadline = context.deadline, idempotent = context.route->idempotent,
                   used = std::make_shared<UsedConnections>()](const state::StartAttempt &action) {
        trace->regions.insert(options_.regionOf(action.upstream.failureDomain));
        return runAttempt(request, trace, action, deadline, idempotent, used);
    };
    job.cancel = [this](const state::CancelAttempt &action) {
        client_.cancel({action.id, action.attempt});
    };
    return job;
}

asio::awaitable<state::AttemptResult>
RequestForwarder::runAttempt(std::shared_ptr<const ForwardRequest> request,
                             std::shared_ptr<AttemptTrace> trace, state::StartAttempt action,
                             transport::TimePoint deadline, bool idempotent,
                             std::shared_ptr<UsedConnections> used)
{
    const std::string kind(enumName(state::AttemptKindNames, action.kind));
    const auto &upstream = action.upstream;
    if (action.kind != state::AttemptKind::Primary) {
        transport::logInfo(Part, "additional attempt started",
                           {{"request", request->id},
                            {"service", upstream.service},
                            {"kind", kind},
                            {"upstream", upstream.name}});
    }
    const AttemptKey key{action.id, action.attempt};
    if (!co_await crashGate_.awaitPermission(request, trace, upstream.service, deadline)) {
        transport::logInfo(Part, "attempt withheld",
                           {{"request", request->id},
                            {"fingerprint", state::formatFingerprint(request->fingerprint)},
                            {"service", upstream.service},
                            {"kind", kind}});
        state::AttemptResult withheld;
        withheld.end = state::AttemptEnd::Withheld;
        withheld.written = false;
        co_return withheld;
    }
    const auto startedAt = runtime_.clock().now();
    const auto target = crashGate_.onAttemptStarted(*request, *trace, upstream);
    path_.onAttemptStarted(upstream.name);
    auto result =
            co_await client_.execute(key, upstream, request, deadline, idempotent, std::move(used));
    path_.onAttemptEnded(upstream.name, result);
    crashGate_.onAttemptEnded(*request, *trace, target, result);
    const bool isExpected =
            result.end == state::AttemptEnd::Answered || result.end == state::AttemptEnd::Cancelled;
    if (!isExpected) {
        transport::logInfo(Part, "attempt failed",
                           {{"request", request->id},
                            {"service", upstream.service},
                            {"kind", kind},
                            {"upstream", upstream.name},
                            {"end", std::string(enumName(state::AttemptEndNames, result.end))},
                            {"status", std::to_string(result.answer ? result.answer->status : 0)},
                            {"connection", std::to_string(result.connection)},
                            {"new_connection", result.newConnection ? "true" : "false"},
                            {"accepts_connections", result.acceptsConnections ? "true" : "false"},
                            {"ms", formatMilliseconds(runtime_.clock().now() - startedAt)}});
    }
    co_return result;
}

asio::awaitable<std::optional<CallerReply>>
RequestForwarder::serveSingle(const RequestContext &context)
{
    struct PendingReply
    {
        explicit PendingReply(const asio::any_io_executor &executor) : event(executor) {}

        transport::AsyncAutoResetEvent event;
        std::optional<state::SubReply> reply;
    };
    const auto service = splits_[context.route->name].next(context.route->targets);
    auto &executor = services_.executorOf(service, context.route->homeRegions);
    const auto pendingReply = std::make_shared<PendingReply>(co_await asio::this_coro::executor);
    auto job = makeJob(context);
    const auto id = job.work.id;
    job.onReply = [pendingReply](state::SubReply reply) {
        pendingReply->reply = std::move(reply);
        pendingReply->event.notify();
    };
    context.trace->wake = [pendingReply] { pendingReply->event.notify(); };
    context.monitor->onDisconnect = context.trace->wake;
    executor.submit(std::move(job));
    const auto isStopped = [this] { return runtime_.clock().now() >= stopAt_; };
    while (!pendingReply->reply && !context.monitor->disconnected && !isStopped()
           && !mustPassOn(context) && runtime_.clock().now() < context.deadline)
        co_await pendingReply->event.waitUntil(context.deadline);
    context.monitor->onDisconnect = [] {};
    if (!pendingReply->reply) {
        executor.cancel(id);
        if (mustPassOn(context) && !context.monitor->disconnected && !isStopped())
            co_return std::nullopt;
        const auto *reason = isStopped() ? "shutting_down" : "deadline";
        co_return failCaller(GatewayTimeoutStatus,
                             context.monitor->disconnected ? "caller_gone" : reason);
    }
    co_return makeSingleReply(context, service, *pendingReply->reply);
}

CallerReply RequestForwarder::makeSingleReply(const RequestContext &context,
                                              const std::string &service,
                                              const state::SubReply &result) const
{
    if (result.answer) {
        const bool done = result.outcome == protocol::SubOutcome::Done;
        return {{result.answer->status, result.answer->headers, result.answer->body},
                done ? "done" : "passed_on",
                {{"service", service}, {"upstream", result.upstream}}};
    }
    const std::string reason(enumName(protocol::SubErrorNames, result.error));
    if (result.outcome == protocol::SubOutcome::NotRun) {
        const auto &executor = services_.executorOf(service, context.route->homeRegions);
        const auto wait = result.error == protocol::SubError::Restricted
                                  ? executor.acceptanceWait(context.route->priority)
                                  : executor.expectedWait(workClassOf(*context.route));
        return refuseCaller(reason, wait.value_or(DefaultRetryAfter));
    }
    const bool late = result.error == protocol::SubError::DeadlineExceeded;
    return failCaller(late ? GatewayTimeoutStatus : BadGatewayStatus, reason);
}

std::optional<transport::Duration> RequestForwarder::gatherWait(const RequestContext &context) const
{
    const auto &gather = context.route->gather;
    std::vector<transport::Duration> waits;
    for (const auto &shard : gather.shards) {
        const auto &executor = services_.executorOf(shard, context.route->homeRegions);
        if (const auto wait = executor.acceptanceWait(context.route->priority))
            waits.push_back(*wait);
    }
    const auto needed = state::minShardCount(gather.shards.size(), gather.minFraction);
    if (waits.size() < needed)
        return std::nullopt;
    const auto last = waits.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(waits.begin(), last, waits.end());
    return *last;
}

asio::awaitable<std::optional<CallerReply>>
RequestForwarder::serveGather(const RequestContext &context)
{
    struct PendingGather
    {
        PendingGather(const asio::any_io_executor &executor, const state::GatherPolicy &policy)
            : event(executor),
              run(policy)
        {
        }

        transport::AsyncAutoResetEvent event;
        state::GatherRun run;
        std::vector<ShardSubRequest> pending;
    };
    const auto wait = gatherWait(context);
    if (!wait)
        co_return refuseCaller("too_few_shards", DefaultRetryAfter);
    if (*wait > transport::Duration(0))
        co_return refuseCaller("restricted", *wait);
    const auto &route = *context.route;
    const auto &shards = route.gather.shards;
    state::GatherPolicy policy;
    policy.shards = shards.size();
    policy.minFraction = route.gather.minFraction;
    policy.softDeadline = context.request->receivedAt
                          + std::max(route.goal - options_.returnLatency, route.goal / 2);
    policy.deadline = context.deadline - options_.returnLatency;
    const auto gather = std::make_shared<PendingGather>(co_await asio::this_coro::executor, policy);
    context.trace->wake = [gather] { gather->event.notify(); };
    context.monitor->onDisconnect = context.trace->wake;
    gather->pending.resize(shards.size());
    for (std::size_t index = 0; index < shards.size(); ++index) {
        auto job = makeJob(context);
        auto &executor = services_.executorOf(shards[index], route.homeRegions);
        gather->pending[index] = {&executor, job.work.id, false};
        job.onReply = [this, gather, index](const state::SubReply &reply) {
            gather->pending[index].replied = true;
            gather->run.onReply(index, reply, runtime_.clock().now());
            if (gather->run.outcome() != state::GatherOutcome::Waiting)
                gather->event.notify();
        };
        executor.submit(std::move(job));
    }
    while (gather->run.outcome() == state::GatherOutcome::Waiting && !context.monitor->disconnected
           && !mustPassOn(context)) {
        co_await gather->event.waitUntil(gather->run.nextTimeout());
        gather->run.endBy(stopAt_);
        gather->run.onTimer(runtime_.clock().now());
    }
    context.monitor->onDisconnect = [] {};
    for (const auto &pending : gather->pending) {
        if (!pending.replied)
            pending.executor->cancel(pending.id);
    }
    if (context.monitor->disconnected)
        co_return failCaller(GatewayTimeoutStatus, "caller_gone");
    if (gather->run.outcome() == state::GatherOutcome::Waiting)
        co_return std::nullopt;
    co_return makeGatherReply(context, gather->run);
}

CallerReply RequestForwarder::makeGatherReply(const RequestContext &context,
                                              const state::GatherRun &run) const
{
    const auto parts = std::to_string(run.partCount());
    const auto leftOut = describeMissingShards(run, context.route->gather.shards);
    const bool refused = run.outcome() == state::GatherOutcome::Refused;
    if (refused && context.trace->isUnexecuted())
        return refuseCaller("too_few_shards", DefaultRetryAfter);
    if (refused || run.outcome() == state::GatherOutcome::Failed) {
        const bool late = runtime_.clock().now() + options_.returnLatency >= context.deadline;
        return failCaller(late ? GatewayTimeoutStatus : BadGatewayStatus,
                          "too_few_parts: " + parts + " received; missing " + leftOut);
    }
    return makeGatheredReply(options_.names, context.request->id, context.route->gather, run);
}

void RequestForwarder::recordResult(const RequestContext &context, const CallerReply &reply)
{
    const auto time = runtime_.clock().now() - context.request->receivedAt;
    const std::string route = context.route == nullptr ? "none" : context.route->name;
    const auto homes = context.route == nullptr ? "" : joinNames(context.route->homeRegions);
    metrics_.counter("persimmon_requests_total", "Caller requests by outcome.",
                     "outcome=\"" + reply.outcome + "\"")
            .add();
    metrics_.latency("persimmon_request_seconds", "Time from receipt of a request to its response.",
                     "route=\"" + route + "\"")
            .record(time);
    std::vector<transport::LogField> all{
            {"request", context.request->id},
            {"fingerprint", state::formatFingerprint(context.request->fingerprint)},
            {"route", route},
            {"config", std::to_string(context.routes ? context.routes->config().version : 0)},
            {"home_regions", homes},
            {"upstream_regions", joinNames(context.trace->regions)},
            {"attempts", std::to_string(context.trace->attempts)},
            {"passed_on", context.request->passedOn ? "yes" : "no"},
            {"outcome", reply.outcome},
            {"status", std::to_string(reply.response.status)},
            {"ms", formatMilliseconds(time)}};
    all.insert(all.end(), reply.fields.begin(), reply.fields.end());
    const auto &lost = context.trace->guard.lostUpstreams();
    if (!lost.empty()) {
        all.push_back({"lost", std::to_string(lost.size())});
        all.push_back({"lost_upstreams", describeUpstreams(lost)});
    }
    transport::log(transport::LogLevel::Info, Part, "request completed", all);
}

} // namespace persimmon::forward
