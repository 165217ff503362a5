#include "forward/request_forwarder.h"

#include <functional>
#include <random>

namespace asio = boost::asio;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";
/// Wait that callers are told when nothing better is known.
constexpr std::chrono::milliseconds DefaultWait{300};
constexpr std::chrono::milliseconds LeastWait{50};

/// Random factor on the wait of refused callers, so that they do not return together.
double spread()
{
    static std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<double>(1.0, 1.6)(random);
}

std::string formatSeconds(transport::Duration wait)
{
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    const auto fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
    return std::to_string(milliseconds / 1000) + "." + fraction;
}

std::uint32_t workClassOf(const state::Route &route)
{
    return static_cast<std::uint32_t>(std::hash<std::string>{}(route.name));
}

std::string formatMilliseconds(transport::Duration time)
{
    return std::to_string(std::chrono::round<std::chrono::milliseconds>(time).count());
}

/// @return the shards without a part and why, for log lines; the first few of them.
std::string describeLeftOut(const state::GatherRun &run, const std::vector<std::string> &shards)
{
    constexpr std::size_t Most = 5;
    std::string text;
    std::size_t count = 0;
    for (std::size_t i = 0; i < shards.size() && count < Most; ++i) {
        if (run.parts()[i])
            continue;
        const auto error = run.errorOf(i);
        text.append(count++ == 0 ? "" : " ").append(shards[i]).append(":");
        text.append(error ? enumName(protocol::SubErrorNames, *error) : "no_reply_yet");
    }
    return text;
}

} // namespace

RequestForwarder::RequestForwarder(transport::Runtime &runtime, transport::Metrics &metrics,
                                   ForwardPool &pool, ServiceSet &services,
                                   ForwarderOptions options)
    : runtime_(runtime),
      metrics_(metrics),
      pool_(pool),
      services_(services),
      options_(std::move(options))
{
}

asio::awaitable<FrontAnswer> RequestForwarder::serve(std::shared_ptr<const ForwardRequest> request,
                                                     std::shared_ptr<CallerWatch> watch)
{
    Call call{std::move(request), std::move(watch), routes_, nullptr, {}};
    if (!call.routes)
        co_return refuse(call, "no_configuration", DefaultWait);
    call.route = call.routes->find(call.request->host, call.request->target);
    if (call.route == nullptr)
        co_return fail(call, 404, "no_route");
    transport::Duration time = call.route->timeout;
    if (call.request->callerTime)
        time = std::min<transport::Duration>(time, *call.request->callerTime);
    call.deadline = call.request->receivedAt + time;
    if (call.route->isGather())
        co_return co_await serveGather(std::move(call));
    co_return co_await serveSingle(std::move(call));
}

dispatch::ServiceJob RequestForwarder::makeJob(const Call &call)
{
    dispatch::ServiceJob job;
    job.work.id = nextId_++;
    job.work.priority = call.route->priority;
    job.work.repeatable = call.route->idempotent;
    job.work.extraLoad = options_.extraLoad;
    job.work.deadline = call.deadline;
    job.work.workClass = workClassOf(*call.route);
    job.work.upstreamLimit = call.route->upstreamLimit;
    job.execute = [this, request = call.request, deadline = call.deadline,
                   repeatable = call.route->idempotent](const state::StartAttempt &action) {
        return runAttempt(request, action, deadline, repeatable);
    };
    job.cancel = [this](const state::CancelAttempt &action) {
        pool_.cancel({action.id, action.attempt});
    };
    return job;
}

asio::awaitable<state::AttemptResult>
RequestForwarder::runAttempt(std::shared_ptr<const ForwardRequest> request,
                             state::StartAttempt action, transport::TimePoint deadline,
                             bool repeatable)
{
    const std::string kind(enumName(state::AttemptKindNames, action.kind));
    const auto &upstream = action.upstream;
    if (action.kind != state::AttemptKind::Primary) {
        transport::logInfo(Part, "another attempt is sent",
                           {{"request", request->id},
                            {"service", upstream.service},
                            {"kind", kind},
                            {"upstream", upstream.name}});
    }
    const AttemptKey key{action.id, action.attempt};
    const auto startedAt = runtime_.clock().now();
    auto result = co_await pool_.execute(key, upstream, request, deadline, repeatable);
    const bool isExpected =
            result.end == state::AttemptEnd::Answered || result.end == state::AttemptEnd::Cancelled;
    if (!isExpected) {
        transport::logInfo(Part, "attempt ended without an answer",
                           {{"request", request->id},
                            {"service", upstream.service},
                            {"kind", kind},
                            {"upstream", upstream.name},
                            {"end", std::string(enumName(state::AttemptEndNames, result.end))},
                            {"ms", formatMilliseconds(runtime_.clock().now() - startedAt)}});
    }
    co_return result;
}

asio::awaitable<FrontAnswer> RequestForwarder::serveSingle(Call call)
{
    struct Wait
    {
        explicit Wait(const asio::any_io_executor &executor) : event(executor) {}

        transport::OneShot event;
        std::optional<state::SubReply> reply;
    };
    const auto service = splits_[call.route->name].next(call.route->targets);
    auto &executor = services_.executorOf(service, call.route->homeRegions);
    const auto wait = std::make_shared<Wait>(co_await asio::this_coro::executor);
    auto job = makeJob(call);
    const auto id = job.work.id;
    job.onReply = [wait](state::SubReply reply) {
        wait->reply = std::move(reply);
        wait->event.notify();
    };
    call.watch->onGone = [wait] { wait->event.notify(); };
    executor.submit(std::move(job));
    while (!wait->reply && !call.watch->gone && runtime_.clock().now() < call.deadline)
        co_await wait->event.waitUntil(call.deadline);
    call.watch->onGone = [] {};
    if (!wait->reply) {
        executor.cancel(id);
        co_return fail(call, 504, call.watch->gone ? "caller_gone" : "deadline");
    }
    co_return answerSingle(call, service, *wait->reply);
}

FrontAnswer RequestForwarder::answerSingle(const Call &call, const std::string &service,
                                           const state::SubReply &reply)
{
    if (reply.answer) {
        FrontAnswer answer{reply.answer->status, reply.answer->headers, reply.answer->body};
        record(call, answer, reply.outcome == protocol::SubOutcome::Done ? "done" : "passed_on",
               {{"service", service},
                {"upstream", reply.upstream},
                {"attempts", std::to_string(reply.executions)}});
        return answer;
    }
    const std::string reason(enumName(protocol::SubErrorNames, reply.error));
    if (reply.outcome == protocol::SubOutcome::NotRun) {
        const auto wait = services_.executorOf(service, call.route->homeRegions)
                                  .expectedWait(workClassOf(*call.route));
        return refuse(call, reason, wait.value_or(DefaultWait));
    }
    const bool late = reply.error == protocol::SubError::DeadlineExceeded;
    return fail(call, late ? 504 : 502, reason);
}

bool RequestForwarder::canReachLeast(const Call &call) const
{
    const auto &gather = call.route->gather;
    std::size_t available = 0;
    for (const auto &shard : gather.shards) {
        auto &executor = services_.executorOf(shard, call.route->homeRegions);
        available += executor.expectedWait(workClassOf(*call.route)) ? 1 : 0;
    }
    return available >= state::leastShards(gather.shards.size(), gather.leastFraction);
}

asio::awaitable<FrontAnswer> RequestForwarder::serveGather(Call call)
{
    struct Wait
    {
        Wait(const asio::any_io_executor &executor, const state::GatherPolicy &policy)
            : event(executor),
              run(policy)
        {
        }

        transport::OneShot event;
        state::GatherRun run;
        std::vector<Pending> pending;
    };
    if (!canReachLeast(call))
        co_return refuse(call, "too_few_shards", DefaultWait);
    const auto &route = *call.route;
    const auto &shards = route.gather.shards;
    state::GatherPolicy policy;
    policy.shards = shards.size();
    policy.leastFraction = route.gather.leastFraction;
    policy.answerBy =
            call.request->receivedAt + std::max(route.goal - options_.returnTime, route.goal / 2);
    policy.deadline = call.deadline - options_.returnTime;
    const auto wait = std::make_shared<Wait>(co_await asio::this_coro::executor, policy);
    call.watch->onGone = [wait] { wait->event.notify(); };
    wait->pending.resize(shards.size());
    for (std::size_t index = 0; index < shards.size(); ++index) {
        auto job = makeJob(call);
        auto &executor = services_.executorOf(shards[index], route.homeRegions);
        wait->pending[index] = {&executor, job.work.id, false};
        job.onReply = [this, wait, index](const state::SubReply &reply) {
            wait->pending[index].replied = true;
            wait->run.onReply(index, reply, runtime_.clock().now());
            if (wait->run.verdict() != state::GatherVerdict::Waiting)
                wait->event.notify();
        };
        executor.submit(std::move(job));
    }
    while (wait->run.verdict() == state::GatherVerdict::Waiting && !call.watch->gone) {
        co_await wait->event.waitUntil(wait->run.nextDue());
        wait->run.onTime(runtime_.clock().now());
    }
    call.watch->onGone = [] {};
    for (const auto &pending : wait->pending) {
        if (!pending.replied)
            pending.executor->cancel(pending.id);
    }
    if (call.watch->gone)
        co_return fail(call, 504, "caller_gone");
    co_return answerGather(call, wait->run);
}

FrontAnswer RequestForwarder::answerGather(const Call &call, const state::GatherRun &run)
{
    const auto parts = std::to_string(run.partCount());
    if (run.verdict() == state::GatherVerdict::Refused)
        return refuse(call, "too_few_shards", DefaultWait);
    if (run.verdict() == state::GatherVerdict::Failed) {
        const bool late = runtime_.clock().now() + options_.returnTime >= call.deadline;
        return fail(call, late ? 504 : 502,
                    "too_few_parts: " + parts + " in; left out "
                            + describeLeftOut(run, call.route->gather.shards));
    }
    FrontAnswer answer;
    std::string signatures;
    std::vector<std::string_view> bodies;
    for (const auto &part : run.parts()) {
        if (!part)
            continue;
        signatures.append(signatures.empty() ? "" : ", ").append(part->signature);
        bodies.emplace_back(part->body);
    }
    const auto missing = call.route->gather.shards.size() - run.partCount();
    answer.headers.push_back({options_.names.requestId, call.request->id});
    answer.headers.push_back({options_.names.partSignatures, signatures});
    answer.headers.push_back({options_.names.missingParts, std::to_string(missing)});
    answer.headers.push_back({"Content-Type", "application/octet-stream"});
    answer.body = state::mergeTopRecords(bodies, call.route->gather.topRecords);
    record(call, answer, std::string(enumName(state::GatherVerdictNames, run.verdict())),
           {{"parts", parts},
            {"missing", std::to_string(missing)},
            {"left_out", describeLeftOut(run, call.route->gather.shards)}});
    return answer;
}

FrontAnswer RequestForwarder::refuse(const Call &call, const std::string &reason,
                                     transport::Duration wait)
{
    FrontAnswer answer;
    answer.status = 503;
    const auto spreadWait = std::chrono::duration_cast<transport::Duration>(
            std::max<transport::Duration>(wait, LeastWait) * spread());
    answer.headers.push_back({"Retry-After", formatSeconds(spreadWait)});
    record(call, answer, "refused",
           {{"reason", reason}, {"retry_after", answer.headers.back().value}});
    return answer;
}

FrontAnswer RequestForwarder::fail(const Call &call, int status, const std::string &reason)
{
    FrontAnswer answer;
    answer.status = status;
    record(call, answer, "failed", {{"reason", reason}});
    return answer;
}

void RequestForwarder::record(const Call &call, const FrontAnswer &answer,
                              const std::string &outcome,
                              std::initializer_list<transport::LogField> fields)
{
    const auto time = runtime_.clock().now() - call.request->receivedAt;
    const std::string route = call.route == nullptr ? "none" : call.route->name;
    metrics_.counter("persimmon_requests_total", "Requests of callers by outcome.",
                     "outcome=\"" + outcome + "\"")
            .add();
    metrics_.latency("persimmon_request_seconds", "Time from request to answer.",
                     "route=\"" + route + "\"")
            .record(time);
    std::vector<transport::LogField> all{
            {"request", call.request->id},
            {"route", route},
            {"config", std::to_string(call.routes ? call.routes->config().version : 0)},
            {"outcome", outcome},
            {"status", std::to_string(answer.status)},
            {"ms", formatMilliseconds(time)}};
    all.insert(all.end(), fields.begin(), fields.end());
    transport::log(transport::LogLevel::Info, Part, "request ended", all);
}

} // namespace persimmon::forward
