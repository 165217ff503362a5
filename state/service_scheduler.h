#pragma once

#include "state/due_times.h"
#include "state/execution_queue.h"
#include "state/extra_load_budget.h"
#include "state/replica_set.h"
#include "state/scheduler_actions.h"
#include "state/sub_request.h"
#include "state/timing_book.h"
#include "state/unproven_gate.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace persimmon::state {

/// Decides for one service which sub-request runs when and where. Each event gives the actions to
/// execute; every sub-request gets exactly one SubReply. Not thread-safe.
class ServiceScheduler
{
public:
    /// A non-repeatable attempt that runs at its deadline is kept for this time, since its late
    /// answer makes the outcome known.
    static constexpr std::chrono::seconds LateAnswerTime{2};
    /// A sub-request that was certainly not executed is sent again at most this many times. Such
    /// retries are free of tokens, since they are no extra executions.
    static constexpr std::uint32_t RefusalLimit = 4;

    /// @param timings execution times, shared with the schedulers of services that do the same work
    ///        and run on the same thread.
    explicit ServiceScheduler(std::shared_ptr<TimingBook> timings = std::make_shared<TimingBook>())
        : timings_(std::move(timings))
    {
    }

    /// Takes what a new view says about the service.
    SchedulerActions onView(const ServiceSettings &settings, TimePoint now);

    /// Takes a new sub-request.
    SchedulerActions onArrival(const SubWork &work, TimePoint now);

    /// Takes the end of an attempt. Every StartAttempt must be followed by exactly one.
    SchedulerActions onAttemptEnded(std::uint64_t id, std::uint32_t attempt, AttemptResult result,
                                    TimePoint now);

    /// Takes the time asked for by ScheduleTimer; an early call does no harm.
    SchedulerActions onTimer(TimePoint now);

    /// Ends a sub-request that nobody waits for. A running non-repeatable one goes on.
    SchedulerActions onCancel(std::uint64_t id, TimePoint now);

    /// Ends the waiting sub-requests of a fingerprint.
    SchedulerActions onQuarantine(std::uint64_t fingerprint, TimePoint now);

    std::size_t waiting() const { return queue_.size(); }

    /// @return how long new work of @p workClass would wait for an upstream, or nothing if no
    ///         upstream is available.
    std::optional<Duration> expectedWait(std::uint32_t workClass) const;

    /// @return median execution time of @p workClass, or nothing before enough answers.
    std::optional<Duration> typicalTime(std::uint32_t workClass) const;

    const ReplicaSet &replicas() const { return replicas_; }
    const ExtraLoadBudget &budget() const { return budget_; }

private:
    using Sub = SubRequest;
    using Attempt = SubRequest::Attempt;

    SchedulerActions finish(SchedulerActions actions, TimePoint now);
    void grant(SchedulerActions &actions, TimePoint now);
    ReplicaSet::Choice choose(const Sub &sub, TimePoint now, bool mayProbe = false) const;
    /// @return times of the work of @p sub at near upstreams.
    ServiceTiming &timingOf(const Sub &sub) const;
    /// @return times of the work of @p sub at upstreams as far as @p upstream.
    ServiceTiming &timingAt(const Sub &sub, const std::string &upstream) const;
    /// @return time after the start of the oldest attempt after which it is hedged.
    Duration hedgeDelayOf(const Sub &sub) const;
    std::optional<TimePoint> nextEvent(TimePoint now) const;
    void refuseUnservable(SchedulerActions &actions, TimePoint now,
                          std::optional<std::uint64_t> only = {});
    void refuseWaiting(SchedulerActions &actions,
                       const std::function<protocol::SubError(const Sub &)> &reason,
                       std::optional<std::uint64_t> only = {});
    void start(SchedulerActions &actions, Sub &sub, const protocol::HostRecord &upstream,
               AttemptKind kind, TimePoint now);
    void onDue(SchedulerActions &actions, Sub &sub, TimePoint now);
    void tryHedge(SchedulerActions &actions, Sub &sub, TimePoint now);
    void onAnswered(SchedulerActions &actions, Sub &sub, const Attempt &attempt,
                    AttemptResult &result);
    void applyEnd(SchedulerActions &actions, Sub &sub, const Attempt &ended, AttemptResult &result,
                  TimePoint now);
    void retryOrReply(SchedulerActions &actions, Sub &sub, bool executed, bool charged,
                      TimePoint now);
    void endSilent(SchedulerActions &actions, Sub &sub, TimePoint now);
    void refuseQuarantined(SchedulerActions &actions, std::uint64_t fingerprint);
    void cancelAttempts(SchedulerActions &actions, Sub &sub);
    void reply(SchedulerActions &actions, Sub &sub, protocol::SubError error);
    void send(SchedulerActions &actions, Sub &sub, SubReply message);
    void setDue(Sub &sub, TimePoint due);
    void removeIfDone(std::uint64_t id);

    ReplicaSet replicas_;
    ExecutionQueue queue_;
    ExtraLoadBudget budget_;
    CrashTracker crashes_;
    UnprovenGate gate_;
    std::shared_ptr<TimingBook> timings_;
    double stragglerFactor_ = 1;
    bool hedging_ = true;
    bool chargeRefusals_ = false;
    bool crashTracking_ = true;
    std::map<std::uint64_t, Sub> subs_;
    DueTimes dues_;
    std::optional<TimePoint> timerAt_;
};

} // namespace persimmon::state
