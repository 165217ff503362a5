#include "state/service_scheduler.h"

#include <algorithm>
#include <utility>

namespace persimmon::state {

namespace {

/// A hedged attempt is cancelled after this many hedge delays without an answer.
constexpr int UnresponsiveFactor = 4;

} // namespace

SchedulerActions ServiceScheduler::onSettingsChanged(const ServiceSettings &settings, TimePoint now)
{
    SchedulerActions actions;
    hedging_ = settings.hedging;
    timings_->setHedgePolicy({settings.hedgeQuantile, settings.minHedgeMedians});
    stragglerFactor_ = settings.stragglerFactor;
    crashTracking_ = settings.crashTracking;
    if (settings.extraLoad) {
        budget_.setCapacity(settings.extraLoad->burst);
        chargeRefusals_ = settings.extraLoad->chargeRefusals;
    }
    replicas_.configure(settings);
    rejectUnservable(actions, now);
    return finish(std::move(actions), now);
}

SchedulerActions ServiceScheduler::onArrival(const SubRequestSpec &work, TimePoint now)
{
    SchedulerActions actions;
    auto &request = requests_[work.id];
    request.work = work;
    request.queuedAt = now;
    setTimer(request, work.deadline);
    if (now >= work.deadline)
        reply(actions, request, protocol::SubError::DeadlineOver);
    else if (crashes_.isQuarantined(work.fingerprint, now))
        reply(actions, request, protocol::SubError::Quarantined);
    rejectUnservable(actions, now, work.id);
    if (!request.replied) {
        const auto rejected = queue_.push(work.id, work.priority, [this, now](std::uint64_t id) {
            const auto &queuedRequest = requests_.at(id);
            return timingFor(queuedRequest)
                    .queueCapacity(replicas_.totalLimit(), queuedRequest.work.deadline, now);
        });
        if (rejected)
            reply(actions, requests_.at(*rejected), protocol::SubError::Overloaded);
        if (rejected && *rejected != work.id)
            eraseIfDone(*rejected);
        // The entry delays the other shards of the query for the canary, for a limited time only.
        if (work.canary && rejected != work.id)
            queue_.moveToFront(work.id, work.priority);
    }
    eraseIfDone(work.id);
    return finish(std::move(actions), now);
}

SchedulerActions ServiceScheduler::onAttemptEnded(std::uint64_t id, std::uint32_t attempt,
                                                  AttemptResult result, TimePoint now)
{
    SchedulerActions actions;
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return actions;
    auto &request = found->second;
    const auto running =
            std::find_if(request.attempts.begin(), request.attempts.end(),
                         [attempt](const auto &candidate) { return candidate.number == attempt; });
    if (running == request.attempts.end())
        return actions;
    const auto ended = *running;
    request.attempts.erase(running);
    if (result.end == AttemptEnd::ErrorAnswer)
        result.end = request.work.needsSuccess ? AttemptEnd::Failed : AttemptEnd::Answered;
    const auto latency = now - ended.startedAt;
    replicas_.onEnded(ended.upstream.name, result, request.work.snapshot, latency, now);
    isolationGate_.onEnded(request.work.fingerprint);
    if (result.end == AttemptEnd::Answered) {
        timingFor(request, ended.upstream.name).record(latency);
        crashes_.onAnswer(request.work.fingerprint);
    }
    const bool crashed =
            crashTracking_ && result.end == AttemptEnd::Lost && !ended.cancelled
            && crashes_.onLoss(request.work.fingerprint, ended.upstream.name, ended.startedAt, now);
    if (!request.replied)
        handleFinishedAttempt(actions, request, ended, result, now);
    if (crashed) {
        actions.emplace_back(QuarantineFingerprint{request.work.fingerprint});
        rejectQuarantined(actions, request.work.fingerprint);
    }
    if (result.end == AttemptEnd::SnapshotMissing || result.end == AttemptEnd::Replaced
        || result.notice.restricts())
        rejectUnservable(actions, now);
    eraseIfDone(id);
    return finish(std::move(actions), now);
}

void ServiceScheduler::handleFinishedAttempt(SchedulerActions &actions, SubRequest &request,
                                             const Attempt &ended, AttemptResult &result,
                                             TimePoint now)
{
    if (result.end == AttemptEnd::Answered) {
        completeWithAnswer(actions, request, ended, result);
        return;
    }
    if (result.end == AttemptEnd::BadRequest) {
        cancelAttempts(actions, request);
        reply(actions, request, protocol::SubError::Malformed);
        return;
    }
    const bool executed = request.recordAttemptEnd(ended.upstream.name, result);
    if (result.end == AttemptEnd::Withheld) {
        if (request.attempts.empty())
            reply(actions, request, request.lastError);
        return;
    }
    // Once an attempt has reached an upstream, any further attempt may add an arrival, whatever
    // the result of this one.
    retryOrReply(actions, request, executed, chargeRefusals_ && request.reachedUpstream, now);
}

ServiceTiming &ServiceScheduler::timingFor(const SubRequest &request) const
{
    return timings_->get(request.work.workClass, false);
}

ServiceTiming &ServiceScheduler::timingFor(const SubRequest &request,
                                           const std::string &upstream) const
{
    return timings_->get(request.work.workClass, replicas_.isFar(upstream));
}

Duration ServiceScheduler::hedgeDelayOf(const SubRequest &request) const
{
    const bool far = replicas_.isFar(request.attempts.front().upstream.name);
    return timings_->hedgeDelay(request.work.workClass, far);
}

void ServiceScheduler::completeWithAnswer(SchedulerActions &actions, SubRequest &request,
                                          const Attempt &attempt, AttemptResult &result)
{
    cancelAttempts(actions, request);
    SubReply message;
    message.outcome = protocol::SubOutcome::Done;
    message.items = std::move(result.items);
    message.answer = std::move(result.answer);
    message.upstream = attempt.upstream.name;
    if (request.work.canary)
        isolationGate_.markProven(request.work.fingerprint);
    send(actions, request, std::move(message));
}

void ServiceScheduler::retryOrReply(SchedulerActions &actions, SubRequest &request, bool executed,
                                    bool charged, TimePoint now)
{
    if (!request.attempts.empty())
        return;
    const bool quarantined = crashes_.isQuarantined(request.work.fingerprint, now);
    if (quarantined)
        request.lastError = protocol::SubError::Quarantined;
    // A lost canary is reported without a retry: the entry sends the canary again and keeps the
    // other shards waiting.
    const bool lost =
            executed && request.work.canary && crashes_.isSuspect(request.work.fingerprint);
    bool retry = now < request.work.deadline && !quarantined && !lost;
    if (retry && executed)
        retry = request.work.repeatable && budget_.tryConsume();
    else if (retry)
        retry = ++request.unexecutedRetries <= MaxUnexecutedRetries
                && (!charged || budget_.tryConsume());
    if (!retry) {
        reply(actions, request, request.lastError);
        return;
    }
    request.queued = true;
    request.nextKind = AttemptKind::Retry;
    queue_.pushFront(request.work.id, request.work.priority);
    setTimer(request, request.work.deadline);
    rejectUnservable(actions, now, request.work.id);
}

SchedulerActions ServiceScheduler::onTimer(TimePoint now)
{
    SchedulerActions actions;
    scheduledTimer_.reset();
    while (const auto id = timers_.popExpired(now)) {
        handleTimer(actions, requests_.at(*id), now);
        eraseIfDone(*id);
    }
    return finish(std::move(actions), now);
}

void ServiceScheduler::handleTimer(SchedulerActions &actions, SubRequest &request, TimePoint now)
{
    const bool late = !request.queued && !request.work.repeatable;
    const auto end = request.work.deadline + (late ? Duration(LateAnswerGrace) : Duration(0));
    if (now >= end) {
        cancelAttempts(actions, request);
        reply(actions, request, protocol::SubError::DeadlineOver);
        return;
    }
    if (request.queued || late) {
        setTimer(request, end);
        return;
    }
    if (request.attempts.size() == 1 && !request.hedged)
        tryHedge(actions, request, now);
    else if (request.attempts.size() > 1)
        cancelUnresponsive(actions, request, now);
    setTimer(request, std::min(end, now + hedgeDelayOf(request)));
}

void ServiceScheduler::tryHedge(SchedulerActions &actions, SubRequest &request, TimePoint now)
{
    // Queued sub-requests take precedence over hedges. Hedging a canary would start a second
    // execution of an unproven fingerprint; hedging a suspect could crash a second upstream.
    if (!hedging_ || request.work.canary || crashes_.isSuspect(request.work.fingerprint)
        || queue_.size() > 0)
        return;
    if (request.hasReachedUpstreamLimit())
        return;
    ReplicaSet::Purpose purpose;
    purpose.priority = request.work.priority;
    purpose.optional = true;
    const auto choice = replicas_.choose(request.work.snapshot,
                                         {request.attempts.front().upstream.name}, now, purpose);
    if (choice.availability != ReplicaSet::Availability::Found)
        return;
    // A hedge on a straggler would be too late; the token is saved for work that runs on one.
    const auto recent = replicas_.recentLatency(choice.upstream.name).value_or(Duration(0));
    if (recent > hedgeDelayOf(request) * stragglerFactor_)
        return;
    if (!budget_.tryConsume())
        return;
    request.hedged = true;
    start(actions, request, choice.upstream, AttemptKind::Hedge, now);
}

void ServiceScheduler::cancelUnresponsive(SchedulerActions &actions, SubRequest &request,
                                          TimePoint now)
{
    auto &oldest = request.attempts.front();
    if (oldest.cancelled || now - oldest.startedAt < hedgeDelayOf(request) * UnresponsiveFactor)
        return;
    oldest.cancelled = true;
    actions.emplace_back(CancelAttempt{request.work.id, oldest.number, oldest.upstream});
}

SchedulerActions ServiceScheduler::onCancel(std::uint64_t id, TimePoint now)
{
    SchedulerActions actions;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.replied)
        return actions;
    auto &request = found->second;
    if (!request.queued && !request.work.repeatable)
        return actions;
    cancelAttempts(actions, request);
    reply(actions, request, protocol::SubError::None);
    eraseIfDone(id);
    return finish(std::move(actions), now);
}

SchedulerActions ServiceScheduler::onQuarantine(std::uint64_t fingerprint, TimePoint now)
{
    SchedulerActions actions;
    rejectQuarantined(actions, fingerprint);
    return finish(std::move(actions), now);
}

void ServiceScheduler::rejectQuarantined(SchedulerActions &actions, std::uint64_t fingerprint)
{
    using enum protocol::SubError;
    rejectQueued(actions, [fingerprint](const SubRequest &request) {
        return request.work.fingerprint == fingerprint ? Quarantined : None;
    });
}

SchedulerActions ServiceScheduler::finish(SchedulerActions actions, TimePoint now)
{
    startQueued(actions, now);
    const auto next = nextWakeup(now);
    if (next && (!scheduledTimer_ || *next < *scheduledTimer_)) {
        scheduledTimer_ = next;
        actions.emplace_back(ScheduleTimer{*scheduledTimer_});
    }
    return actions;
}

std::optional<TimePoint> ServiceScheduler::nextWakeup(TimePoint now) const
{
    const auto next = timers_.nextExpiry();
    if (queue_.size() == 0)
        return next;
    const auto start = nextQueuedStart(now);
    return start && (!next || *start < *next) ? start : next;
}

std::optional<TimePoint> ServiceScheduler::nextQueuedStart(TimePoint now) const
{
    // No other event restarts work that waits for the rate limit of an upstream.
    auto next = replicas_.nextColdStart(now);
    const auto accepted = replicas_.nextAcceptedStart(protocol::Priority::Critical, now);
    const bool isLimited = accepted && *accepted > now && *accepted < TimePoint::max();
    if (isLimited && (!next || *accepted < *next))
        next = accepted;
    return next;
}

ReplicaSet::Choice ServiceScheduler::chooseUpstream(const SubRequest &request, TimePoint now,
                                                    bool mayProbe) const
{
    const auto snapshot = request.work.snapshot;
    ReplicaSet::Purpose purpose;
    purpose.priority = request.work.priority;
    purpose.mayProbe = mayProbe && request.attempted.empty();
    if (request.attempted.empty())
        return replicas_.choose(snapshot, {}, now, purpose);
    if (!request.hasReachedUpstreamLimit()) {
        // Retry on an upstream without an earlier attempt if there is one.
        const auto other = replicas_.choose(snapshot, request.attempted, now, purpose);
        if (other.availability == ReplicaSet::Availability::Found)
            return other;
    }
    return replicas_.choose(snapshot, request.exclusionsFrom(replicas_.names()), now, purpose);
}

std::optional<Duration> ServiceScheduler::expectedWait(std::uint32_t workClass) const
{
    const auto slots = replicas_.totalLimit();
    if (slots == 0)
        return std::nullopt;
    const auto executionTime = medianTime(workClass).value_or(Duration(0));
    return executionTime * static_cast<std::int64_t>(queue_.size())
           / static_cast<std::int64_t>(slots);
}

std::optional<Duration> ServiceScheduler::medianTime(std::uint32_t workClass) const
{
    return timings_->medianTime(workClass, false);
}

void ServiceScheduler::startQueued(SchedulerActions &actions, TimePoint now)
{
    std::vector<std::uint64_t> overdue;
    const auto isReady = [this, now, &overdue](std::uint64_t id) {
        const auto &request = requests_.at(id);
        const auto &work = request.work;
        if (timingFor(request).wouldMissDeadline(request.queuedAt, work.deadline, now)) {
            overdue.push_back(id);
            return false;
        }
        if (!isolationGate_.mayStart(work.fingerprint, work.canary, crashes_))
            return false;
        return chooseUpstream(request, now).availability == ReplicaSet::Availability::Found;
    };
    while (queue_.size() > 0 && replicas_.hasCapacity()) {
        const auto id = queue_.pop(isReady);
        for (const auto late : std::exchange(overdue, {})) {
            reply(actions, requests_.at(late), protocol::SubError::Overloaded);
            eraseIfDone(late);
        }
        if (!id)
            return;
        auto &request = requests_.at(*id);
        request.queued = false;
        const bool mayProbe = hedging_ && request.work.repeatable && !request.work.canary;
        const auto choice = chooseUpstream(request, now, mayProbe);
        start(actions, request, choice.upstream, request.nextKind, now);
        setTimer(request, request.work.repeatable
                                  ? std::min(request.work.deadline, now + hedgeDelayOf(request))
                                  : request.work.deadline + LateAnswerGrace);
    }
}

void ServiceScheduler::start(SchedulerActions &actions, SubRequest &request,
                             const protocol::HostRecord &upstream, AttemptKind kind, TimePoint now)
{
    if (request.executions++ == 0)
        budget_.addPrimary(request.work.extraLoad);
    replicas_.onStarted(upstream.name, now);
    request.attempted.insert(upstream.name);
    request.unreached.erase(upstream.name);
    isolationGate_.onStarted(request.work.fingerprint);
    request.attempts.push_back({request.executions, upstream, now});
    const auto extra = request.work.repeatable ? Duration(0) : Duration(LateAnswerGrace);
    actions.emplace_back(StartAttempt{request.work.id, request.executions, kind, upstream,
                                      request.work.deadline + extra});
}

void ServiceScheduler::rejectUnservable(SchedulerActions &actions, TimePoint now,
                                        std::optional<std::uint64_t> only)
{
    rejectQueued(
            actions,
            [this, now](const SubRequest &request) {
                ReplicaSet::Purpose purpose;
                purpose.priority = request.work.priority;
                switch (replicas_.choose(request.work.snapshot, {}, now, purpose).availability) {
                case ReplicaSet::Availability::Restricted:
                    return protocol::SubError::Restricted;
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

void ServiceScheduler::rejectQueued(
        SchedulerActions &actions,
        const std::function<protocol::SubError(const SubRequest &)> &reason,
        std::optional<std::uint64_t> only)
{
    auto entry = only ? requests_.find(*only) : requests_.begin();
    while (entry != requests_.end()) {
        auto &request = entry->second;
        // A caller that passes an id still holds a reference, so it erases that request itself.
        ++entry;
        const auto error = request.queued ? reason(request) : protocol::SubError::None;
        if (error != protocol::SubError::None) {
            reply(actions, request, error);
            if (!only)
                eraseIfDone(request.work.id);
        }
        if (only)
            return;
    }
}

void ServiceScheduler::cancelAttempts(SchedulerActions &actions, SubRequest &request)
{
    for (auto &attempt : request.attempts) {
        if (std::exchange(attempt.cancelled, true))
            continue;
        actions.emplace_back(CancelAttempt{request.work.id, attempt.number, attempt.upstream});
    }
}

void ServiceScheduler::reply(SchedulerActions &actions, SubRequest &request,
                             protocol::SubError error)
{
    send(actions, request, request.makeFailure(error));
}

void ServiceScheduler::send(SchedulerActions &actions, SubRequest &request, SubReply message)
{
    message.id = request.work.id;
    message.executions = request.executions;
    request.replied = true;
    if (std::exchange(request.queued, false))
        queue_.remove(request.work.id, request.work.priority);
    timers_.remove(request.work.id);
    actions.emplace_back(std::move(message));
}

void ServiceScheduler::setTimer(SubRequest &request, TimePoint due)
{
    if (!request.replied)
        timers_.set(request.work.id, due);
}

void ServiceScheduler::eraseIfDone(std::uint64_t id)
{
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.replied && found->second.attempts.empty())
        requests_.erase(found);
}

} // namespace persimmon::state
