#include "state/service_scheduler.h"

#include <algorithm>
#include <utility>

namespace persimmon::state {

namespace {

/// An attempt without an answer after this many hedge delays is given up once it is hedged.
constexpr int SilenceFactor = 4;

} // namespace

SchedulerActions ServiceScheduler::onView(const ServiceSettings &settings, TimePoint now)
{
    SchedulerActions actions;
    hedging_ = settings.hedging;
    timings_->setHedgePolicy({settings.hedgeQuantile, settings.leastHedgeMedians});
    stragglerFactor_ = settings.stragglerFactor;
    crashTracking_ = settings.crashTracking;
    if (settings.extraLoad) {
        budget_.setCapacity(settings.extraLoad->burst);
        chargeRefusals_ = settings.extraLoad->chargeRefusals;
    }
    replicas_.configure(settings);
    refuseUnservable(actions, now);
    return finish(std::move(actions), now);
}

SchedulerActions ServiceScheduler::onArrival(const SubWork &work, TimePoint now)
{
    SchedulerActions actions;
    auto &sub = subs_[work.id];
    sub.work = work;
    sub.arrivedAt = now;
    setDue(sub, work.deadline);
    if (now >= work.deadline)
        reply(actions, sub, protocol::SubError::DeadlineOver);
    else if (crashes_.isQuarantined(work.fingerprint, now))
        reply(actions, sub, protocol::SubError::Quarantined);
    refuseUnservable(actions, now, work.id);
    if (!sub.replied) {
        const auto refused = queue_.push(work.id, work.priority, [this, now](std::uint64_t id) {
            const auto &waiting = subs_.at(id);
            return timingOf(waiting).servable(replicas_.totalLimit(), waiting.work.deadline, now);
        });
        if (refused)
            reply(actions, subs_.at(*refused), protocol::SubError::Overloaded);
        if (refused && *refused != work.id)
            removeIfDone(*refused);
        // The other shards of its query wait for a canary, and only for a limited time.
        if (work.canary && refused != work.id)
            queue_.moveToFront(work.id, work.priority);
    }
    removeIfDone(work.id);
    return finish(std::move(actions), now);
}

SchedulerActions ServiceScheduler::onAttemptEnded(std::uint64_t id, std::uint32_t attempt,
                                                  AttemptResult result, TimePoint now)
{
    SchedulerActions actions;
    const auto found = subs_.find(id);
    if (found == subs_.end())
        return actions;
    auto &sub = found->second;
    const auto running = std::find_if(sub.attempts.begin(), sub.attempts.end(),
                                      [attempt](const auto &row) { return row.number == attempt; });
    if (running == sub.attempts.end())
        return actions;
    const auto ended = *running;
    sub.attempts.erase(running);
    const auto latency = now - ended.startedAt;
    replicas_.onEnded(ended.upstream.name, result, sub.work.snapshot, latency, now);
    gate_.leave(sub.work.fingerprint);
    if (result.end == AttemptEnd::Answered) {
        timingAt(sub, ended.upstream.name).record(latency);
        crashes_.onAnswer(sub.work.fingerprint);
    }
    const bool crashed =
            crashTracking_ && result.end == AttemptEnd::Lost && !ended.cancelled
            && crashes_.onLoss(sub.work.fingerprint, ended.upstream.name, ended.startedAt, now);
    if (!sub.replied)
        applyEnd(actions, sub, ended, result, now);
    if (crashed) {
        actions.emplace_back(QuarantineFingerprint{sub.work.fingerprint});
        refuseQuarantined(actions, sub.work.fingerprint);
    }
    if (result.end == AttemptEnd::SnapshotMissing || result.end == AttemptEnd::Replaced)
        refuseUnservable(actions, now);
    removeIfDone(id);
    return finish(std::move(actions), now);
}

void ServiceScheduler::applyEnd(SchedulerActions &actions, Sub &sub, const Attempt &ended,
                                AttemptResult &result, TimePoint now)
{
    if (result.end == AttemptEnd::Answered) {
        onAnswered(actions, sub, ended, result);
        return;
    }
    if (result.end == AttemptEnd::BadRequest) {
        cancelAttempts(actions, sub);
        reply(actions, sub, protocol::SubError::Malformed);
        return;
    }
    const bool executed = sub.noteEnd(ended.upstream.name, result);
    // Any further attempt may be one more arrival, whatever this one ended with.
    retryOrReply(actions, sub, executed, chargeRefusals_ && sub.arrived, now);
}

ServiceTiming &ServiceScheduler::timingOf(const Sub &sub) const
{
    return timings_->of(sub.work.workClass, false);
}

ServiceTiming &ServiceScheduler::timingAt(const Sub &sub, const std::string &upstream) const
{
    return timings_->of(sub.work.workClass, replicas_.isFar(upstream));
}

Duration ServiceScheduler::hedgeDelayOf(const Sub &sub) const
{
    const bool far = replicas_.isFar(sub.attempts.front().upstream.name);
    return timings_->hedgeDelay(sub.work.workClass, far);
}

void ServiceScheduler::onAnswered(SchedulerActions &actions, Sub &sub, const Attempt &attempt,
                                  AttemptResult &result)
{
    cancelAttempts(actions, sub);
    SubReply message;
    message.outcome = protocol::SubOutcome::Done;
    message.items = std::move(result.items);
    message.answer = std::move(result.answer);
    message.upstream = attempt.upstream.name;
    if (sub.work.canary)
        gate_.markProven(sub.work.fingerprint);
    send(actions, sub, std::move(message));
}

void ServiceScheduler::retryOrReply(SchedulerActions &actions, Sub &sub, bool executed,
                                    bool charged, TimePoint now)
{
    if (!sub.attempts.empty())
        return;
    const bool quarantined = crashes_.isQuarantined(sub.work.fingerprint, now);
    if (quarantined)
        sub.lastError = protocol::SubError::Quarantined;
    // A lost canary is reported at once, so that the entry goes on to hold the other shards back;
    // the entry sends it again.
    const bool lost = executed && sub.work.canary && crashes_.isSuspect(sub.work.fingerprint);
    bool retry = now < sub.work.deadline && !quarantined && !lost;
    if (retry && executed)
        retry = sub.work.repeatable && budget_.tryTake();
    else if (retry)
        retry = ++sub.refusals <= RefusalLimit && (!charged || budget_.tryTake());
    if (!retry) {
        reply(actions, sub, sub.lastError);
        return;
    }
    sub.waiting = true;
    sub.nextKind = AttemptKind::Retry;
    queue_.pushFront(sub.work.id, sub.work.priority);
    setDue(sub, sub.work.deadline);
    refuseUnservable(actions, now, sub.work.id);
}

SchedulerActions ServiceScheduler::onTimer(TimePoint now)
{
    SchedulerActions actions;
    timerAt_.reset();
    while (const auto id = dues_.takeDue(now)) {
        onDue(actions, subs_.at(*id), now);
        removeIfDone(*id);
    }
    return finish(std::move(actions), now);
}

void ServiceScheduler::onDue(SchedulerActions &actions, Sub &sub, TimePoint now)
{
    const bool late = !sub.waiting && !sub.work.repeatable;
    const auto end = sub.work.deadline + (late ? Duration(LateAnswerTime) : Duration(0));
    if (now >= end) {
        cancelAttempts(actions, sub);
        reply(actions, sub, protocol::SubError::DeadlineOver);
        return;
    }
    if (sub.waiting || late) {
        setDue(sub, end);
        return;
    }
    if (sub.attempts.size() == 1 && !sub.hedged)
        tryHedge(actions, sub, now);
    else if (sub.attempts.size() > 1)
        endSilent(actions, sub, now);
    setDue(sub, std::min(end, now + hedgeDelayOf(sub)));
}

void ServiceScheduler::tryHedge(SchedulerActions &actions, Sub &sub, TimePoint now)
{
    // Waiting work is needed work, so that it goes before extra work. A hedge of a canary would
    // be a second unproven execution, that of a suspect could crash a second upstream.
    if (!hedging_ || sub.work.canary || crashes_.isSuspect(sub.work.fingerprint)
        || queue_.size() > 0)
        return;
    if (sub.hasUsedAll())
        return;
    const auto choice =
            replicas_.choose(sub.work.snapshot, {sub.attempts.front().upstream.name}, now);
    if (choice.availability != ReplicaSet::Availability::Found)
        return;
    // A straggler would answer too late, and the token is worth more for work that runs on one.
    const auto recent = replicas_.recentLatency(choice.upstream.name).value_or(Duration(0));
    if (recent > hedgeDelayOf(sub) * stragglerFactor_)
        return;
    if (!budget_.tryTake())
        return;
    sub.hedged = true;
    start(actions, sub, choice.upstream, AttemptKind::Hedge, now);
}

void ServiceScheduler::endSilent(SchedulerActions &actions, Sub &sub, TimePoint now)
{
    auto &oldest = sub.attempts.front();
    if (oldest.cancelled || now - oldest.startedAt < hedgeDelayOf(sub) * SilenceFactor)
        return;
    oldest.cancelled = true;
    actions.emplace_back(CancelAttempt{sub.work.id, oldest.number, oldest.upstream});
}

SchedulerActions ServiceScheduler::onCancel(std::uint64_t id, TimePoint now)
{
    SchedulerActions actions;
    const auto found = subs_.find(id);
    if (found == subs_.end() || found->second.replied)
        return actions;
    auto &sub = found->second;
    if (!sub.waiting && !sub.work.repeatable)
        return actions;
    cancelAttempts(actions, sub);
    reply(actions, sub, protocol::SubError::None);
    removeIfDone(id);
    return finish(std::move(actions), now);
}

SchedulerActions ServiceScheduler::onQuarantine(std::uint64_t fingerprint, TimePoint now)
{
    SchedulerActions actions;
    refuseQuarantined(actions, fingerprint);
    return finish(std::move(actions), now);
}

void ServiceScheduler::refuseQuarantined(SchedulerActions &actions, std::uint64_t fingerprint)
{
    using enum protocol::SubError;
    refuseWaiting(actions, [fingerprint](const Sub &sub) {
        return sub.work.fingerprint == fingerprint ? Quarantined : None;
    });
}

SchedulerActions ServiceScheduler::finish(SchedulerActions actions, TimePoint now)
{
    grant(actions, now);
    const auto next = nextEvent(now);
    if (next && (!timerAt_ || *next < *timerAt_)) {
        timerAt_ = next;
        actions.emplace_back(ScheduleTimer{*timerAt_});
    }
    return actions;
}

std::optional<TimePoint> ServiceScheduler::nextEvent(TimePoint now) const
{
    const auto next = dues_.next();
    if (queue_.size() == 0)
        return next;
    // Nothing else wakes work that waits for a cold upstream.
    const auto cold = replicas_.nextColdStart(now);
    return cold && (!next || *cold < *next) ? cold : next;
}

ReplicaSet::Choice ServiceScheduler::choose(const Sub &sub, TimePoint now, bool mayProbe) const
{
    const auto snapshot = sub.work.snapshot;
    if (sub.used.empty())
        return replicas_.choose(snapshot, {}, now, mayProbe);
    if (!sub.hasUsedAll()) {
        // A retry goes to another upstream, unless there is none.
        const auto other = replicas_.choose(snapshot, sub.used, now);
        if (other.availability == ReplicaSet::Availability::Found)
            return other;
    }
    return replicas_.choose(snapshot, sub.excludedOf(replicas_.names()), now);
}

std::optional<Duration> ServiceScheduler::expectedWait(std::uint32_t workClass) const
{
    const auto slots = replicas_.totalLimit();
    if (slots == 0)
        return std::nullopt;
    const auto time = typicalTime(workClass).value_or(Duration(0));
    return time * static_cast<std::int64_t>(queue_.size()) / static_cast<std::int64_t>(slots);
}

std::optional<Duration> ServiceScheduler::typicalTime(std::uint32_t workClass) const
{
    return timings_->typicalTime(workClass, false);
}

void ServiceScheduler::grant(SchedulerActions &actions, TimePoint now)
{
    std::vector<std::uint64_t> tooLate;
    const auto isReady = [this, now, &tooLate](std::uint64_t id) {
        const auto &sub = subs_.at(id);
        const auto &work = sub.work;
        if (timingOf(sub).isTooLate(sub.arrivedAt, work.deadline, now)) {
            tooLate.push_back(id);
            return false;
        }
        if (!gate_.isOpenFor(work.fingerprint, work.canary, crashes_))
            return false;
        return choose(sub, now).availability == ReplicaSet::Availability::Found;
    };
    while (queue_.size() > 0 && replicas_.hasCapacity()) {
        const auto id = queue_.pop(isReady);
        for (const auto late : std::exchange(tooLate, {})) {
            reply(actions, subs_.at(late), protocol::SubError::Overloaded);
            removeIfDone(late);
        }
        if (!id)
            return;
        auto &sub = subs_.at(*id);
        sub.waiting = false;
        const bool mayProbe = hedging_ && sub.work.repeatable && !sub.work.canary;
        const auto choice = choose(sub, now, mayProbe);
        start(actions, sub, choice.upstream, sub.nextKind, now);
        setDue(sub, sub.work.repeatable ? std::min(sub.work.deadline, now + hedgeDelayOf(sub))
                                        : sub.work.deadline + LateAnswerTime);
    }
}

void ServiceScheduler::start(SchedulerActions &actions, Sub &sub,
                             const protocol::HostRecord &upstream, AttemptKind kind, TimePoint now)
{
    if (sub.executions++ == 0)
        budget_.addPrimary(sub.work.extraLoad);
    replicas_.onStarted(upstream.name, now);
    sub.used.insert(upstream.name);
    sub.unreached.erase(upstream.name);
    gate_.enter(sub.work.fingerprint);
    sub.attempts.push_back({sub.executions, upstream, now});
    const auto extra = sub.work.repeatable ? Duration(0) : Duration(LateAnswerTime);
    actions.emplace_back(
            StartAttempt{sub.work.id, sub.executions, kind, upstream, sub.work.deadline + extra});
}

void ServiceScheduler::refuseUnservable(SchedulerActions &actions, TimePoint now,
                                        std::optional<std::uint64_t> only)
{
    refuseWaiting(
            actions,
            [this, now](const Sub &sub) {
                switch (replicas_.choose(sub.work.snapshot, {}, now).availability) {
                case ReplicaSet::Availability::SnapshotMissing:
                    return protocol::SubError::SnapshotMissing;
                case ReplicaSet::Availability::NoUpstream:
                    return protocol::SubError::NoUpstream;
                default:
                    return protocol::SubError::None;
                }
            },
            only);
}

void ServiceScheduler::refuseWaiting(SchedulerActions &actions,
                                     const std::function<protocol::SubError(const Sub &)> &reason,
                                     std::optional<std::uint64_t> only)
{
    auto row = only ? subs_.find(*only) : subs_.begin();
    while (row != subs_.end()) {
        auto &sub = row->second;
        // The caller removes the one that it names, since it still holds a reference to it.
        ++row;
        const auto error = sub.waiting ? reason(sub) : protocol::SubError::None;
        if (error != protocol::SubError::None) {
            reply(actions, sub, error);
            if (!only)
                removeIfDone(sub.work.id);
        }
        if (only)
            return;
    }
}

void ServiceScheduler::cancelAttempts(SchedulerActions &actions, Sub &sub)
{
    for (auto &attempt : sub.attempts) {
        if (std::exchange(attempt.cancelled, true))
            continue;
        actions.emplace_back(CancelAttempt{sub.work.id, attempt.number, attempt.upstream});
    }
}

void ServiceScheduler::reply(SchedulerActions &actions, Sub &sub, protocol::SubError error)
{
    send(actions, sub, sub.makeFailure(error));
}

void ServiceScheduler::send(SchedulerActions &actions, Sub &sub, SubReply message)
{
    message.id = sub.work.id;
    message.executions = sub.executions;
    sub.replied = true;
    if (std::exchange(sub.waiting, false))
        queue_.remove(sub.work.id, sub.work.priority);
    dues_.remove(sub.work.id);
    actions.emplace_back(std::move(message));
}

void ServiceScheduler::setDue(Sub &sub, TimePoint due)
{
    if (!sub.replied)
        dues_.set(sub.work.id, due);
}

void ServiceScheduler::removeIfDone(std::uint64_t id)
{
    const auto found = subs_.find(id);
    if (found != subs_.end() && found->second.replied && found->second.attempts.empty())
        subs_.erase(found);
}

} // namespace persimmon::state
