#include "dispatch/service_executor.h"

namespace asio = boost::asio;

namespace persimmon::dispatch {

ServiceExecutor::ServiceExecutor(ServiceExecutorContext &context,
                                 std::shared_ptr<state::TimingRegistry> timings,
                                 std::shared_ptr<state::UpstreamRestrictions> restrictions)
    : context_(context),
      scheduler_(std::move(timings), std::move(restrictions))
{
}

void ServiceExecutor::configure(const state::ServiceSettings &settings)
{
    handleEvent([&settings](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onSettingsChanged(settings, now);
    });
}

void ServiceExecutor::submit(ServiceJob job)
{
    handleEvent([&](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        const auto work = job.work;
        jobs_.emplace(work.id, PendingJob{std::move(job), now});
        return scheduler.onArrival(work, now);
    });
}

void ServiceExecutor::cancel(std::uint64_t id)
{
    handleEvent([id](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onCancel(id, now);
    });
}

void ServiceExecutor::quarantine(std::uint64_t fingerprint)
{
    handleEvent([fingerprint](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onQuarantine(fingerprint, now);
    });
}

ServiceExecutor::Status ServiceExecutor::status() const
{
    const std::lock_guard lock(mutex_);
    return {scheduler_.waiting(), scheduler_.budget().tokens(), scheduler_.replicas().statuses()};
}

std::optional<transport::Duration> ServiceExecutor::expectedWait(std::uint32_t workClass) const
{
    const std::lock_guard lock(mutex_);
    return scheduler_.expectedWait(workClass);
}

std::optional<transport::Duration>
ServiceExecutor::acceptanceWait(protocol::Priority priority) const
{
    const std::lock_guard lock(mutex_);
    const auto now = context_.runtime.clock().now();
    const auto start = scheduler_.nextAcceptedStart(priority, now);
    if (!start || *start == transport::TimePoint::max())
        return std::nullopt;
    return std::max(*start - now, transport::Duration(0));
}

void ServiceExecutor::handleEvent(const SchedulerEvent &event)
{
    DeferredCalls calls;
    {
        const std::lock_guard lock(mutex_);
        const auto now = context_.runtime.clock().now();
        for (const auto &action : event(scheduler_, now))
            std::visit([&](const auto &typed) { addCalls(calls, typed, now); }, action);
    }
    // The calls are made without the lock, since they may re-enter this function.
    for (const auto &call : calls)
        call();
}

void ServiceExecutor::addCalls(DeferredCalls &calls, const state::StartAttempt &action,
                               transport::TimePoint now)
{
    const auto &pending = jobs_.at(action.id);
    context_.metrics.onStarted(action.kind);
    if (action.attempt == 1)
        context_.metrics.onFirstAttempt(now - pending.arrivedAt);
    calls.emplace_back([self = shared_from_this(), action, execute = pending.job.execute] {
        self->context_.runtime.spawn(self->runAttempt(action, execute(action)));
    });
}

void ServiceExecutor::addCalls(DeferredCalls &calls, const state::CancelAttempt &action,
                               transport::TimePoint /*now*/)
{
    const auto pending = jobs_.find(action.id);
    if (pending == jobs_.end())
        return;
    calls.emplace_back([action, cancel = pending->second.job.cancel] { cancel(action); });
}

void ServiceExecutor::addCalls(DeferredCalls &calls, const state::ScheduleTimer &action,
                               transport::TimePoint /*now*/)
{
    timerAt_ = action.at;
    calls.emplace_back([self = shared_from_this(), at = action.at] {
        self->context_.runtime.spawn(self->runTimer(at));
    });
}

void ServiceExecutor::addCalls(DeferredCalls &calls, const state::SubReply &action,
                               transport::TimePoint /*now*/)
{
    context_.metrics.onReply(action.outcome);
    const auto pending = jobs_.find(action.id);
    calls.emplace_back(
            [reply = action, onReply = std::move(pending->second.job.onReply)] { onReply(reply); });
    jobs_.erase(pending);
}

void ServiceExecutor::addCalls(DeferredCalls &calls, const state::QuarantineFingerprint &action,
                               transport::TimePoint /*now*/)
{
    calls.emplace_back([self = shared_from_this(), fingerprint = action.fingerprint] {
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
    handleEvent([&](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        return scheduler.onAttemptEnded(action.id, action.attempt, result, now);
    });
}

asio::awaitable<void> ServiceExecutor::runTimer(transport::TimePoint at)
{
    const auto self = shared_from_this();
    auto &clock = context_.runtime.clock();
    co_await clock.sleep(at - clock.now());
    handleEvent([this, at](state::ServiceScheduler &scheduler, transport::TimePoint now) {
        // Ignore the timer if a newer one has replaced it.
        if (at != timerAt_)
            return state::SchedulerActions{};
        return scheduler.onTimer(now);
    });
}

} // namespace persimmon::dispatch
