#pragma once

#include "state/crash_isolation_gate.h"
#include "state/execution_queue.h"
#include "state/extra_load_budget.h"
#include "state/replica_set.h"
#include "state/scheduled_sub_request.h"
#include "state/scheduler_actions.h"
#include "state/timer_queue.h"
#include "state/timing_registry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace persimmon::state {

/// Schedules the sub-requests of one service: selects the upstream and the start time of each
/// attempt, including hedges and retries. A pure state machine: each event handler returns the
/// actions that the caller must execute. Every sub-request gets exactly one SubReply.
/// Not thread-safe.
class ServiceScheduler
{
public:
    /// A non-repeatable attempt is cancelled only this long after its deadline, since a late
    /// answer still makes the outcome known.
    static constexpr std::chrono::seconds LateAnswerGrace{2};
    /// Maximum number of retries of a sub-request whose attempts were certainly not executed. Such
    /// retries add no executions and consume no budget tokens, except with
    /// ExtraLoadLimit::chargeRefusals.
    static constexpr std::uint32_t MaxUnexecutedRetries = 4;

    /// @param timings execution times, shared with the schedulers of services that do the same work
    ///        and run on the same thread.
    /// @param restrictions what the upstreams have stated, shared likewise; null for none.
    explicit ServiceScheduler(
            std::shared_ptr<TimingRegistry> timings = std::make_shared<TimingRegistry>(),
            std::shared_ptr<UpstreamRestrictions> restrictions = nullptr)
        : replicas_(std::move(restrictions)),
          timings_(std::move(timings))
    {
    }

    /// Applies changed settings of the service.
    SchedulerActions onSettingsChanged(const ServiceSettings &settings, TimePoint now);

    /// Queues a new sub-request or rejects it.
    SchedulerActions onArrival(const SubRequestSpec &work, TimePoint now);

    /// Handles the end of an attempt. Must be called exactly once for each StartAttempt.
    SchedulerActions onAttemptEnded(std::uint64_t id, std::uint32_t attempt, AttemptResult result,
                                    TimePoint now);

    /// Handles the expiry of the timer that ScheduleTimer requested; early calls are harmless.
    SchedulerActions onTimer(TimePoint now);

    /// Cancels a sub-request whose caller no longer waits. A running non-repeatable one continues.
    SchedulerActions onCancel(std::uint64_t id, TimePoint now);

    /// Rejects the queued sub-requests of a quarantined fingerprint.
    SchedulerActions onQuarantine(std::uint64_t fingerprint, TimePoint now);

    std::size_t waiting() const { return queue_.size(); }

    /// @return expected queueing time of new work of @p workClass, or std::nullopt if no upstream
    ///         is available.
    std::optional<Duration> expectedWait(std::uint32_t workClass) const;

    /// @return when work of this priority is accepted next, see ReplicaSet::nextAcceptedStart().
    std::optional<TimePoint> nextAcceptedStart(protocol::Priority priority, TimePoint now) const
    {
        return replicas_.nextAcceptedStart(priority, now);
    }

    /// @return median execution time of @p workClass, or std::nullopt before enough answers.
    std::optional<Duration> medianTime(std::uint32_t workClass) const;

    const ReplicaSet &replicas() const { return replicas_; }
    const ExtraLoadBudget &budget() const { return budget_; }

private:
    using SubRequest = ScheduledSubRequest;
    using Attempt = ScheduledSubRequest::Attempt;

    SchedulerActions finish(SchedulerActions actions, TimePoint now);
    void startQueued(SchedulerActions &actions, TimePoint now);
    ReplicaSet::Choice chooseUpstream(const SubRequest &request, TimePoint now,
                                      bool mayProbe = false) const;
    /// @return execution times of the work class of @p request at near upstreams.
    ServiceTiming &timingFor(const SubRequest &request) const;
    /// @return execution times of the work class of @p request at upstreams as near or far as
    ///         @p upstream.
    ServiceTiming &timingFor(const SubRequest &request, const std::string &upstream) const;
    /// @return delay from the start of the oldest attempt to its hedge.
    Duration hedgeDelayOf(const SubRequest &request) const;
    std::optional<TimePoint> nextWakeup(TimePoint now) const;
    /// @return when a queued sub-request may be started that no other event starts.
    std::optional<TimePoint> nextQueuedStart(TimePoint now) const;
    void rejectUnservable(SchedulerActions &actions, TimePoint now,
                          std::optional<std::uint64_t> only = {});
    void rejectQueued(SchedulerActions &actions,
                      const std::function<protocol::SubError(const SubRequest &)> &reason,
                      std::optional<std::uint64_t> only = {});
    void start(SchedulerActions &actions, SubRequest &request, const protocol::HostRecord &upstream,
               AttemptKind kind, TimePoint now);
    void handleTimer(SchedulerActions &actions, SubRequest &request, TimePoint now);
    void tryHedge(SchedulerActions &actions, SubRequest &request, TimePoint now);
    void completeWithAnswer(SchedulerActions &actions, SubRequest &request, const Attempt &attempt,
                            AttemptResult &result);
    void handleFinishedAttempt(SchedulerActions &actions, SubRequest &request, const Attempt &ended,
                               AttemptResult &result, TimePoint now);
    void retryOrReply(SchedulerActions &actions, SubRequest &request, bool executed, bool charged,
                      TimePoint now);
    void cancelUnresponsive(SchedulerActions &actions, SubRequest &request, TimePoint now);
    void rejectQuarantined(SchedulerActions &actions, std::uint64_t fingerprint);
    void cancelAttempts(SchedulerActions &actions, SubRequest &request);
    void reply(SchedulerActions &actions, SubRequest &request, protocol::SubError error);
    void send(SchedulerActions &actions, SubRequest &request, SubReply message);
    void setTimer(SubRequest &request, TimePoint due);
    void eraseIfDone(std::uint64_t id);

    ReplicaSet replicas_;
    ExecutionQueue queue_;
    ExtraLoadBudget budget_;
    CrashTracker crashes_;
    CrashIsolationGate isolationGate_;
    std::shared_ptr<TimingRegistry> timings_;
    double stragglerFactor_ = 1;
    bool hedging_ = true;
    bool chargeRefusals_ = false;
    bool crashTracking_ = true;
    std::map<std::uint64_t, SubRequest> requests_;
    TimerQueue timers_;
    std::optional<TimePoint> scheduledTimer_;
};

} // namespace persimmon::state
