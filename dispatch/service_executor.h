#pragma once

#include "dispatch/dispatch_metrics.h"
#include "state/service_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace persimmon::dispatch {

/// A sub-request with the callbacks that execute, cancel and answer it. The callbacks implement the
/// protocol of the upstream, so that all protocols share the scheduler.
struct ServiceJob
{
    state::SubRequestSpec work;
    /// Executes one attempt; its result is passed to the scheduler.
    std::function<boost::asio::awaitable<state::AttemptResult>(state::StartAttempt)> execute;
    /// Cancels an attempt; execute() still completes and returns the actual result.
    std::function<void(const state::CancelAttempt &)> cancel;
    /// Called exactly once with the reply, on any thread.
    std::function<void(state::SubReply)> onReply;
};

/// Dependencies shared by the service executors of a process; must outlive them.
struct ServiceExecutorContext
{
    transport::Runtime &runtime;
    DispatchMetrics &metrics;
    /// Called with the query fingerprint to quarantine.
    std::function<void(std::uint64_t)> onQuarantine;
};

/// Passes events to the scheduler of one service and performs the actions that it returns. Callable
/// from any thread.
class ServiceExecutor : public std::enable_shared_from_this<ServiceExecutor>
{
public:
    /// @param timings latency statistics, which executors of services with equal work may share if
    ///        they all run on one thread.
    /// @param restrictions what the upstreams have stated, shared likewise; null for none.
    explicit ServiceExecutor(ServiceExecutorContext &context,
                             std::shared_ptr<state::TimingRegistry> timings =
                                     std::make_shared<state::TimingRegistry>(),
                             std::shared_ptr<state::UpstreamRestrictions> restrictions = nullptr);

    void configure(const state::ServiceSettings &settings);

    void submit(ServiceJob job);
    void cancel(std::uint64_t id);
    void quarantine(std::uint64_t fingerprint);

    /// @return the expected queue time of new work of @p workClass, or std::nullopt if no upstream
    ///         is available.
    std::optional<transport::Duration> expectedWait(std::uint32_t workClass) const;

    /// @return the time until an upstream accepts work of this priority by what the upstreams have
    ///         stated, 0 if one accepts it now, or std::nullopt if none will.
    std::optional<transport::Duration> acceptanceWait(protocol::Priority priority) const;

    /// State of the service for status pages.
    struct Status
    {
        /// Sub-requests in the queue.
        std::size_t waiting = 0;
        /// Tokens in the extra-load budget.
        double extraLoadTokens = 0;
        std::vector<state::ReplicaSet::UpstreamStatus> upstreams;
    };
    Status status() const;

private:
    struct PendingJob
    {
        ServiceJob job;
        transport::TimePoint arrivedAt;
    };
    using SchedulerEvent =
            std::function<state::SchedulerActions(state::ServiceScheduler &, transport::TimePoint)>;
    /// Calls that are made after the lock has been released.
    using DeferredCalls = std::vector<std::function<void()>>;

    void handleEvent(const SchedulerEvent &event);
    void addCalls(DeferredCalls &calls, const state::StartAttempt &action,
                  transport::TimePoint now);
    void addCalls(DeferredCalls &calls, const state::CancelAttempt &action,
                  transport::TimePoint now);
    void addCalls(DeferredCalls &calls, const state::ScheduleTimer &action,
                  transport::TimePoint now);
    void addCalls(DeferredCalls &calls, const state::SubReply &action, transport::TimePoint now);
    void addCalls(DeferredCalls &calls, const state::QuarantineFingerprint &action,
                  transport::TimePoint now);
    boost::asio::awaitable<void> runAttempt(state::StartAttempt action,
                                            boost::asio::awaitable<state::AttemptResult> execution);
    boost::asio::awaitable<void> runTimer(transport::TimePoint at);

    ServiceExecutorContext &context_;
    mutable std::mutex mutex_;
    state::ServiceScheduler scheduler_;
    transport::TimePoint timerAt_;
    std::map<std::uint64_t, PendingJob> jobs_;
};

} // namespace persimmon::dispatch
