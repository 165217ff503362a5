#pragma once

#include "dispatch/dispatch_metrics.h"
#include "state/service_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace persimmon::dispatch {

/// A sub-request with what is needed to execute and to answer it. The hooks carry the protocol of
/// the upstream, so that every protocol shares the scheduler.
struct ServiceJob
{
    state::SubWork work;
    /// Executes one attempt; its end is reported to the scheduler.
    std::function<boost::asio::awaitable<state::AttemptResult>(state::StartAttempt)> execute;
    /// Gives an attempt up; execute() still ends, with whatever came of it.
    std::function<void(const state::CancelAttempt &)> cancel;
    /// Called once with the reply, on any thread.
    std::function<void(state::SubReply)> onReply;
};

/// What the executors of a process share; must outlive them.
struct ExecutorContext
{
    transport::Runtime &runtime;
    DispatchMetrics &metrics;
    /// Called with a fingerprint to quarantine.
    std::function<void(std::uint64_t)> onQuarantine;
};

/// Executes the actions of the scheduler of one service. Callable from any thread.
class ServiceExecutor : public std::enable_shared_from_this<ServiceExecutor>
{
public:
    /// @param timings shared with the executors of services that do the same work; only where one
    ///        thread runs all of them.
    explicit ServiceExecutor(
            ExecutorContext &context,
            std::shared_ptr<state::TimingBook> timings = std::make_shared<state::TimingBook>());

    void configure(const state::ServiceSettings &settings);

    void submit(ServiceJob job);
    void cancel(std::uint64_t id);
    void quarantine(std::uint64_t fingerprint);

    /// @return how long new work of @p workClass would wait, or nothing if no upstream is there.
    std::optional<transport::Duration> expectedWait(std::uint32_t workClass) const;

    /// State of the service for status pages.
    struct Status
    {
        std::size_t waiting = 0;
        double budget = 0;
        std::vector<state::ReplicaSet::Row> upstreams;
    };
    Status status() const;

private:
    struct Job
    {
        ServiceJob content;
        transport::TimePoint arrivedAt;
    };
    using Event =
            std::function<state::SchedulerActions(state::ServiceScheduler &, transport::TimePoint)>;
    using Steps = std::vector<std::function<void()>>;

    void apply(const Event &event);
    void prepare(Steps &steps, const state::StartAttempt &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::CancelAttempt &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::ScheduleTimer &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::SubReply &action, transport::TimePoint now);
    void prepare(Steps &steps, const state::QuarantineFingerprint &action,
                 transport::TimePoint now);
    boost::asio::awaitable<void> runAttempt(state::StartAttempt action,
                                            boost::asio::awaitable<state::AttemptResult> execution);
    boost::asio::awaitable<void> wakeAt(transport::TimePoint at);

    ExecutorContext &context_;
    mutable std::mutex mutex_;
    state::ServiceScheduler scheduler_;
    transport::TimePoint timerAt_;
    std::map<std::uint64_t, Job> jobs_;
};

} // namespace persimmon::dispatch
