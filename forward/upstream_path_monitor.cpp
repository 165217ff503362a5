#include "forward/upstream_path_monitor.h"

namespace asio = boost::asio;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "forward";
constexpr std::chrono::milliseconds CheckInterval{100};
/// Upstreams of one round of trial connections.
constexpr std::size_t TrialCount = 4;

/// @return the names of the upstreams with their failure domains, for log messages.
std::string describe(const std::vector<protocol::HostRecord> &upstreams)
{
    std::string text;
    for (const auto &upstream : upstreams) {
        text.append(text.empty() ? "" : " ").append(upstream.name);
        text.append("@").append(upstream.failureDomain);
    }
    return text;
}

transport::Counter &trialCounter(transport::Metrics &metrics, const std::string &result)
{
    return metrics.counter("persimmon_upstream_trials_total",
                           "Trial connections to upstreams by result.",
                           "result=\"" + result + "\"");
}

} // namespace

UpstreamPathMonitor::UpstreamPathMonitor(transport::Runtime &runtime, transport::Metrics &metrics,
                                         ForwardingClient &client, UpstreamPathHooks hooks)
    : runtime_(runtime),
      client_(client),
      hooks_(std::move(hooks)),
      acceptedTrials_(trialCounter(metrics, "accepted")),
      failedTrials_(trialCounter(metrics, "failed"))
{
    metrics.gauge("persimmon_upstream_path_lost",
                  "Whether no upstream can be reached from this host.",
                  [this] { return isLost() ? 1.0 : 0.0; });
}

void UpstreamPathMonitor::start()
{
    runtime_.spawn(run());
}

void UpstreamPathMonitor::onAttemptStarted(const std::string &upstream)
{
    reachability_.onAttemptStarted(upstream, runtime_.clock().now());
}

void UpstreamPathMonitor::onAttemptEnded(const std::string &upstream,
                                         const state::AttemptResult &result)
{
    reachability_.onAttemptEnded(upstream, result, runtime_.clock().now());
}

bool UpstreamPathMonitor::shouldServe()
{
    const auto fraction = reachability_.ownFraction(runtime_.clock().now());
    return fraction >= 1 || std::uniform_real_distribution<double>(0, 1)(random_) < fraction;
}

asio::awaitable<void> UpstreamPathMonitor::run()
{
    while (true) {
        co_await runtime_.clock().sleep(CheckInterval);
        if (reachability_.isTrialDue(hooks_.upstreamCount, runtime_.clock().now()))
            co_await runTrial();
    }
}

asio::awaitable<void> UpstreamPathMonitor::runTrial()
{
    reachability_.onTrialStarted(runtime_.clock().now());
    const auto upstreams = hooks_.sampleUpstreams(TrialCount);
    const auto trial = std::make_shared<Trial>(co_await asio::this_coro::executor);
    trial->pending = upstreams.size();
    for (const auto &upstream : upstreams)
        runtime_.spawn(tryUpstream(trial, upstream));
    while (trial->pending > 0 && !trial->accepted)
        co_await trial->event.waitUntil(transport::TimePoint::max());
    const auto now = runtime_.clock().now();
    const auto lostTime = reachability_.lostTime(now);
    if (reachability_.onTrialEnded(trial->accepted, now)) {
        logChange(describe(upstreams), lostTime);
        hooks_.onChange();
    }
    if (isLost())
        hooks_.onStillLost();
}

asio::awaitable<void> UpstreamPathMonitor::tryUpstream(std::shared_ptr<Trial> trial,
                                                       protocol::HostRecord upstream)
{
    const bool accepted = co_await client_.tryConnect(std::move(upstream));
    (accepted ? acceptedTrials_ : failedTrials_).add();
    trial->accepted = trial->accepted || accepted;
    --trial->pending;
    trial->event.notify();
}

void UpstreamPathMonitor::logChange(const std::string &upstreams,
                                    transport::Duration lostTime) const
{
    if (isLost()) {
        transport::logWarning(Part, "lost the path to all upstreams", {{"tried", upstreams}});
        return;
    }
    const auto time = std::chrono::round<std::chrono::milliseconds>(lostTime);
    transport::logInfo(Part, "the path to upstreams is open again",
                       {{"tried", upstreams}, {"ms", std::to_string(time.count())}});
}

} // namespace persimmon::forward
