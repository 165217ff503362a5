#include "dispatch/service_executor.h"

namespace asio = boost::asio;

namespace persimmon::dispatch {

ServiceExecutor::ServiceExecutor(ExecutorContext &context,
                                 std::shared_ptr<state::TimingBook> timings)
    : context_(context),
      scheduler_(std::move(timings))
{
}

void ServiceExecutor::configure(const state::ServiceSettings &settings)
{
    apply([&settings](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onView(settings, now);
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
    return {scheduler_.waiting(), scheduler_.budget().tokens(), scheduler_.replicas().rows()};
}

std::optional<transport::Duration> ServiceExecutor::expectedWait(std::uint32_t workClass) const
{
    const std::lock_guard lock(mutex_);
    return scheduler_.expectedWait(workClass);
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
    context_.metrics.onStarted(action.kind);
    if (action.attempt == 1)
        context_.metrics.onFirstAttempt(now - job.arrivedAt);
    steps.emplace_back([self = shared_from_this(), action, execute = job.content.execute] {
        self->context_.runtime.spawn(self->runAttempt(action, execute(action)));
    });
}

void ServiceExecutor::prepare(Steps &steps, const state::CancelAttempt &action,
                              transport::TimePoint /*now*/)
{
    const auto job = jobs_.find(action.id);
    if (job == jobs_.end())
        return;
    steps.emplace_back([action, cancel = job->second.content.cancel] { cancel(action); });
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
                                                  asio::awaitable<state::AttemptResult> execution)
{
    const auto self = shared_from_this();
    auto &clock = context_.runtime.clock();
    const auto startedAt = clock.now();
    const auto result = co_await std::move(execution);
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
