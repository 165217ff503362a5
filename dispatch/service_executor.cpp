#include "dispatch/service_executor.h"

#include "dispatch/attempt_conversion.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

/// Attempts of one sub-request that get distinct numbers.
constexpr std::uint64_t AttemptsPerSub = 256;

/// Upstreams see attempt numbers that are unique for all shards of a request id.
std::uint64_t wireAttempt(std::uint64_t id, std::uint32_t attempt)
{
    return id * AttemptsPerSub + attempt;
}

} // namespace

ServiceExecutor::ServiceExecutor(ExecutorContext &context, std::string service, std::string group)
    : context_(context),
      service_(std::move(service)),
      group_(std::move(group))
{
}

void ServiceExecutor::configure(const std::shared_ptr<const state::ClusterView> &view)
{
    {
        const std::lock_guard lock(mutex_);
        if (view_ == view || (view_ && view_->configRevision > view->configRevision))
            return;
        view_ = view;
    }
    const auto group = view->groups.find(group_);
    const auto settings = group == view->groups.end() ? protocol::GroupSettings{} : group->second;
    const auto ranking = state::rankDispatchers(*view, service_);
    const bool first = !ranking.empty() && ranking.front() == context_.options.host;
    const state::ServiceSettings service{view->availableUpstreams(service_),
                                         state::shareOfSlots(settings.slots, first),
                                         settings.slots,
                                         settings.coldLimit,
                                         context_.options.ramp,
                                         context_.options.hedging,
                                         context_.options.hedgeQuantile};
    apply([&](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        first_ = first;
        connectionLimit_ =
                std::max<std::size_t>(1, first ? settings.connections : settings.connections / 2);
        return scheduler.onView(service, now);
    });
}

void ServiceExecutor::submit(ServiceJob job)
{
    apply([&](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        const auto work = job.work;
        jobs_.emplace(work.id, Job{std::move(job), now});
        return scheduler.onArrival(work, now);
    });
}

void ServiceExecutor::cancel(std::uint64_t id)
{
    apply([id](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onCancel(id, now);
    });
}

void ServiceExecutor::quarantine(std::uint64_t fingerprint)
{
    apply([fingerprint](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onQuarantine(fingerprint, now);
    });
}

ServiceExecutor::Status ServiceExecutor::status() const
{
    const std::lock_guard lock(mutex_);
    return {first_, scheduler_.waiting(), scheduler_.budget().tokens(),
            scheduler_.replicas().rows()};
}

void ServiceExecutor::apply(const Event &event)
{
    Steps steps;
    {
        const std::lock_guard lock(mutex_);
        const auto now = context_.runtime.clock().now();
        for (const auto &action : event(scheduler_, now))
            std::visit([&](const auto &known) { prepare(steps, known, now); }, action);
    }
    // Steps run without the lock, since they may lead to the next event at once.
    for (const auto &step : steps)
        step();
}

void ServiceExecutor::prepare(Steps &steps, const state::StartAttempt &action,
                              transport::TimePoint now)
{
    const auto &job = jobs_.at(action.id);
    auto request = job.content.request;
    request.attempt = wireAttempt(action.id, action.attempt);
    request.deadline =
            std::chrono::ceil<std::chrono::milliseconds>(job.content.work.deadline - now);
    context_.metrics.onStarted(action.kind);
    if (action.attempt == 1)
        context_.metrics.onFirstAttempt(now - job.arrivedAt);
    steps.emplace_back([self = shared_from_this(), action, request = std::move(request),
                        repeatable = job.content.work.repeatable, limit = connectionLimit_] {
        self->context_.runtime.spawn(self->runAttempt(action, request, repeatable, limit));
    });
}

void ServiceExecutor::prepare(Steps &steps, const state::CancelAttempt &action,
                              transport::TimePoint /*now*/)
{
    const protocol::CancelExecution cancel{jobs_.at(action.id).content.request.requestId,
                                           wireAttempt(action.id, action.attempt)};
    steps.emplace_back([self = shared_from_this(), upstream = action.upstream, cancel] {
        self->context_.pool.cancel(upstream, cancel);
    });
}

void ServiceExecutor::prepare(Steps &steps, const state::ScheduleTimer &action,
                              transport::TimePoint /*now*/)
{
    timerAt_ = action.at;
    steps.emplace_back([self = shared_from_this(), at = action.at] {
        self->context_.runtime.spawn(self->wakeAt(at));
    });
}

void ServiceExecutor::prepare(Steps &steps, const state::SubReply &action,
                              transport::TimePoint /*now*/)
{
    context_.metrics.onReply(action.outcome);
    const auto job = jobs_.find(action.id);
    steps.emplace_back(
            [reply = action, onReply = std::move(job->second.content.onReply)] { onReply(reply); });
    jobs_.erase(job);
}

void ServiceExecutor::prepare(Steps &steps, const state::QuarantineFingerprint &action,
                              transport::TimePoint /*now*/)
{
    steps.emplace_back([self = shared_from_this(), fingerprint = action.fingerprint] {
        self->context_.onQuarantine(fingerprint);
    });
}

asio::awaitable<void> ServiceExecutor::runAttempt(state::StartAttempt action,
                                                  protocol::ExecuteRequest request, bool repeatable,
                                                  std::size_t connectionLimit)
{
    const auto self = shared_from_this();
    auto &clock = context_.runtime.clock();
    const auto startedAt = clock.now();
    auto executed = co_await context_.pool.execute(
            action.upstream, request, action.deadline - startedAt, connectionLimit, repeatable);
    const auto result = convertAttempt(std::move(executed));
    context_.metrics.onEnded(result.end, clock.now() - startedAt);
    apply([&](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onAttemptEnded(action.id, action.attempt, result, now);
    });
}

asio::awaitable<void> ServiceExecutor::wakeAt(transport::TimePoint at)
{
    const auto self = shared_from_this();
    auto &clock = context_.runtime.clock();
    co_await clock.sleep(at - clock.now());
    apply([this, at](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        // A newer timer has replaced this one.
        if (at != timerAt_)
            return state::SchedulerActions{};
        return scheduler.onTimer(now);
    });
}

} // namespace persimmon::dispatch
