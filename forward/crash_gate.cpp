#include "forward/crash_gate.h"

#include "state/fingerprint.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";

} // namespace

std::string describeUpstreams(const std::vector<state::LostUpstream> &upstreams)
{
    constexpr std::size_t MaxUpstreams = 8;
    std::string text;
    for (std::size_t i = 0; i < upstreams.size() && i < MaxUpstreams; ++i)
        text.append(i == 0 ? "" : " ").append(upstreams[i].name);
    return text;
}

std::optional<transport::Duration>
CrashGate::quarantineTimeLeft(const ForwardRequest &request) const
{
    return evidence_.quarantineTimeLeft(request.fingerprint, runtime_.clock().now());
}

asio::awaitable<bool> CrashGate::awaitPermission(std::shared_ptr<const ForwardRequest> request,
                                                 std::shared_ptr<AttemptTrace> trace,
                                                 std::string service, transport::TimePoint deadline)
{
    std::shared_ptr<transport::AsyncAutoResetEvent> event;
    while (!trace->finished && runtime_.clock().now() < deadline) {
        const auto now = runtime_.clock().now();
        const auto known = evidence_.knownCrashes(request->fingerprint, service);
        const auto permission = trace->guard.decide(service, known, now);
        if (permission != state::AttemptPermission::Wait)
            co_return permission == state::AttemptPermission::Granted;
        if (!event) {
            const auto executor = co_await asio::this_coro::executor;
            event = std::make_shared<transport::AsyncAutoResetEvent>(executor);
        }
        const auto settledAt = trace->guard.settledAt();
        trace->waiting.insert(event);
        co_await event->waitUntil(now < settledAt ? std::min(settledAt, deadline) : deadline);
        trace->waiting.erase(event);
    }
    co_return false;
}

state::LostUpstream CrashGate::onAttemptStarted(const ForwardRequest &request, AttemptTrace &trace,
                                                const protocol::HostRecord &upstream)
{
    ++trace.attempts;
    ++trace.running;
    const auto known = evidence_.knownCrashes(request.fingerprint, upstream.service);
    const bool repeated = trace.guard.isRepeated(known, runtime_.clock().now());
    trace.guard.onStarted(upstream.service, known);
    return {upstream.service, upstream.name, hooks_.incarnationOf(upstream.name), repeated};
}

void CrashGate::onAttemptEnded(const ForwardRequest &request, AttemptTrace &trace,
                               const state::LostUpstream &target,
                               const state::AttemptResult &result)
{
    --trace.running;
    trace.mayHaveExecuted = trace.mayHaveExecuted || state::mayHaveExecuted(result);
    const bool crashed = result.end == state::AttemptEnd::Lost && !result.acceptsConnections;
    if (crashed)
        trace.guard.onLost(target, runtime_.clock().now());
    else if (result.end == state::AttemptEnd::Answered
             || result.end == state::AttemptEnd::ErrorAnswer)
        trace.guard.onAnswered(target.service);
    else
        trace.guard.onEnded(target.service);
    trace.wakeWaiting();
    // The other losses were reported when the caller was answered.
    if (trace.finished && crashed)
        report(request, {target});
}

void CrashGate::onFinished(const ForwardRequest &request, AttemptTrace &trace)
{
    trace.finished = true;
    trace.wakeWaiting();
    const auto now = runtime_.clock().now();
    for (const auto &service : trace.guard.answeredServices())
        evidence_.onAnswered(request.fingerprint, service, now);
    const auto unanswered = trace.guard.unansweredLosses();
    if (unanswered.empty() && !trace.guard.answeredServices().empty())
        evidence_.onServed(request.fingerprint, now);
    report(request, unanswered);
}

void CrashGate::report(const ForwardRequest &request,
                       const std::vector<state::LostUpstream> &upstreams)
{
    if (upstreams.empty())
        return;
    const bool quarantined =
            evidence_.onLost(request.fingerprint, upstreams, runtime_.clock().now());
    const auto crashes = evidence_.crashCount(request.fingerprint);
    transport::logWarning(Part,
                          quarantined ? "quarantined a request that crashes upstreams"
                                      : "upstreams ended during a request",
                          {{"request", request.id},
                           {"fingerprint", state::formatFingerprint(request.fingerprint)},
                           {"upstreams", describeUpstreams(upstreams)},
                           {"crashes", std::to_string(crashes)}});
    if (quarantined)
        hooks_.onQuarantined();
}

} // namespace persimmon::forward
