#include "state/replica_set.h"

#include <algorithm>
#include <utility>

namespace persimmon::state {

namespace {

/// How long a snapshot_missing answer remains valid.
constexpr std::chrono::seconds SnapshotMissingTtl{1};
/// How long an upstream that drains or loses connections is used only as a last resort, even while
/// the others are busy. Its low in-flight count would otherwise attract all work.
constexpr std::chrono::milliseconds MinAvoidTime{500};
/// Upper bound of the doubling avoidance time of an upstream that keeps failing.
constexpr std::chrono::milliseconds MaxAvoidTime{2000};
/// An upstream counts as stalled if its oldest execution has taken this many times its median
/// latency with no answer in between: new work would queue behind it.
constexpr int StallFactor = 3;
constexpr std::chrono::milliseconds MinStallTime{20};
/// How long an upstream is excluded once another instance answers at its address. Its record is
/// removed within this time.
constexpr std::chrono::seconds ReplacedTime{5};
/// Minimum restart time of an upstream. One that was idle for longer may have restarted unnoticed.
constexpr std::chrono::milliseconds IdleRestartTime{300};
/// How long an upstream that lost a new connection receives one attempt at a time. Its connection
/// limit may be used up by connections of processes that lost power, which it closes only after a
/// timeout, and each further attempt would open a connection that it resets.
constexpr std::chrono::seconds SingleConnectionTime{4};
/// An upstream counts as slow if its latency exceeds this multiple of the lowest one.
constexpr int SlowFactor = 2;
/// Upper bound of the probe delay, which doubles while the upstream stays slow.
constexpr std::chrono::milliseconds MaxProbeDelay{4000};
/// Weight of one attempt in the moving average of failures; about the last 20 attempts count.
constexpr double FailureWeight = 0.06;
/// Lower bound of the success rate in the ranking, also for an upstream that always fails.
constexpr double MinSuccessRate = 0.1;

} // namespace

std::uint32_t slotShare(std::uint32_t slots, bool first)
{
    return std::max<std::uint32_t>(1, first ? slots : slots / 2);
}

void ReplicaSet::configure(const ServiceSettings &settings)
{
    sharedConnectionLimit_ = settings.sharedConnectionLimit;
    for (auto &[name, replica] : replicas_)
        replica.available = false;
    for (const auto &host : settings.available) {
        const UpstreamRamp fresh(settings.coldLimit, settings.share, settings.slots, settings.ramp);
        auto &replica = replicas_.try_emplace(host.name, host, fresh).first->second;
        if (replica.host.address != host.address) {
            replica.ramp = fresh;
            replica.replacedUntil = {};
        }
        replica.host = host;
        replica.available = true;
        const auto traits = settings.traits.find(host.name);
        replica.traits = traits == settings.traits.end() ? UpstreamTraits{} : traits->second;
        const auto share = replica.traits.limit > 0 ? replica.traits.limit : settings.share;
        replica.ramp.configure(settings.coldLimit, share, settings.slots);
        replica.cold.configure(replica.traits.coldUntil, replica.traits.coldRate);
    }
    std::erase_if(replicas_, [](const auto &entry) {
        return !entry.second.available && entry.second.inFlight == 0;
    });
}

ReplicaSet::Choice ReplicaSet::choose(std::uint64_t snapshot, const std::set<std::string> &excluded,
                                      TimePoint now, const Purpose &purpose) const
{
    bool anyAvailable = false;
    bool anyAccepting = false;
    bool anyWithSnapshot = false;
    bool anyPreferred = false;
    std::vector<const Replica *> candidates;
    for (const auto &[name, replica] : replicas_) {
        if (!isUsable(replica, now))
            continue;
        anyAvailable = true;
        if (replica.isSnapshotMissing(snapshot, now))
            continue;
        anyWithSnapshot = true;
        if (!accepts(replica, purpose, now))
            continue;
        anyAccepting = true;
        if (excluded.contains(name))
            continue;
        const bool preferred = replica.isPreferred(now);
        if (preferred && !anyPreferred)
            candidates.clear();
        anyPreferred = anyPreferred || preferred;
        const bool mayStart =
                replica.inFlight < limitOf(replica, now) && replica.cold.mayStart(now);
        if (mayStart && preferred == anyPreferred)
            candidates.push_back(&replica);
    }
    if (!candidates.empty())
        return {Availability::Found, best(candidates, now, purpose.mayProbe).host};
    if (anyWithSnapshot)
        return {anyAccepting ? Availability::Busy : Availability::Restricted, {}};
    return {anyAvailable ? Availability::SnapshotMissing : Availability::NoUpstream, {}};
}

bool ReplicaSet::isUsable(const Replica &replica, TimePoint now) const
{
    const bool leaving = restrictions_ && restrictions_->isLeaving(replica.host.name);
    return replica.available && now >= replica.replacedUntil && !leaving;
}

bool ReplicaSet::accepts(const Replica &replica, const Purpose &purpose, TimePoint now) const
{
    if (!restrictions_)
        return true;
    const auto &name = replica.host.name;
    if (purpose.optional && restrictions_->isLimited(name))
        return false;
    return restrictions_->nextStart(name, purpose.priority, now) <= now;
}

std::optional<TimePoint> ReplicaSet::nextAcceptedStart(protocol::Priority priority,
                                                       TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[name, replica] : replicas_) {
        if (!isUsable(replica, now))
            continue;
        const auto start = restrictions_ ? restrictions_->nextStart(name, priority, now) : now;
        next = std::min(next.value_or(start), start);
    }
    return next;
}

const ReplicaSet::Replica &ReplicaSet::best(const std::vector<const Replica *> &candidates,
                                            TimePoint now, bool mayProbe) const
{
    const auto lowest = lowestLatency();
    const auto costNow = [lowest](const Replica *replica) {
        return cost(*replica, replica->recent.median().value_or(lowest));
    };
    const auto *cheapest = *std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto *left, const auto *right) { return costNow(left) < costNow(right); });
    if (!mayProbe)
        return *cheapest;
    for (const auto *candidate : candidates) {
        if (candidate->inFlight > 0 || candidate == cheapest)
            continue;
        const bool wasSlow = candidate->probeAt && now >= *candidate->probeAt;
        // A far or failing upstream would rank lower even at the lowest latency.
        if (candidate->skippedCount >= ProbeInterval
            || (wasSlow && cost(*candidate, lowest) < costNow(cheapest)))
            return *candidate;
    }
    return *cheapest;
}

std::uint32_t ReplicaSet::limitOf(const Replica &replica, TimePoint now) const
{
    const bool single =
            sharedConnectionLimit_ && (!replica.answered || now < replica.singleConnectionUntil);
    return single ? std::min(replica.ramp.limit(), 1U) : replica.ramp.limit();
}

bool ReplicaSet::Replica::isSnapshotMissing(std::uint64_t snapshot, TimePoint now) const
{
    const auto found = missing.find(snapshot);
    return found != missing.end() && now < found->second;
}

bool ReplicaSet::Replica::isStalled(TimePoint now) const
{
    if (starts.empty())
        return false;
    const Duration threshold = recent.median().value_or(Duration(0)) * StallFactor;
    return now - std::max(starts.front(), lastEnd) > std::max<Duration>(threshold, MinStallTime);
}

bool ReplicaSet::Replica::isPreferred(TimePoint now) const
{
    return now >= avoidUntil && !traits.lastResort && !isStalled(now);
}

void ReplicaSet::Replica::avoid(TimePoint now)
{
    const auto time = MinAvoidTime * (1U << std::min(failuresInRow, 2U));
    avoidUntil = now + std::min<std::chrono::milliseconds>(time, MaxAvoidTime);
    ++failuresInRow;
}

void ReplicaSet::Replica::scheduleProbe(Duration latency, Duration lowest, TimePoint now)
{
    if (latency <= lowest * SlowFactor) {
        probeDelay = InitialProbeDelay;
        probeAt.reset();
        return;
    }
    // Concurrent attempts were slow for the same reason and count once.
    if (now - latency >= slowAt)
        probeAt = now + std::exchange(probeDelay, std::min(probeDelay * 2, MaxProbeDelay));
    slowAt = now;
}

void ReplicaSet::Replica::recordOutcome(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        failureRate -= failureRate * FailureWeight;
        break;
    case AttemptEnd::Shed:
    case AttemptEnd::Lost:
    case AttemptEnd::Dropped:
    case AttemptEnd::Oversized:
    case AttemptEnd::Failed:
        failureRate += (1 - failureRate) * FailureWeight;
        break;
    default:
        break;
    }
}

Duration ReplicaSet::lowestLatency() const
{
    auto lowest = Duration::max();
    for (const auto &[name, replica] : replicas_)
        lowest = std::min(lowest, replica.recent.median().value_or(lowest));
    return lowest;
}

double ReplicaSet::cost(const Replica &replica, Duration latency)
{
    const double load = static_cast<double>(replica.inFlight) / replica.ramp.limit();
    // Expected attempts per success: callers see the latency of each failed attempt as well.
    const double attempts = 1 / std::max(MinSuccessRate, 1 - replica.failureRate);
    return (1 + load) * attempts * attempts * replica.traits.costFactor
           * static_cast<double>(latency.count());
}

std::optional<Duration> ReplicaSet::recentLatency(const std::string &name) const
{
    const auto found = replicas_.find(name);
    return found == replicas_.end() ? std::nullopt : found->second.recent.median();
}

bool ReplicaSet::hasCapacity() const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second.available && entry.second.inFlight < entry.second.ramp.limit();
    });
}

bool ReplicaSet::isFar(const std::string &name) const
{
    const auto found = replicas_.find(name);
    return found != replicas_.end() && found->second.traits.costFactor > 1;
}

std::vector<std::string> ReplicaSet::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, replica] : replicas_) {
        if (replica.available)
            names.push_back(name);
    }
    return names;
}

std::size_t ReplicaSet::totalLimit() const
{
    std::size_t total = 0;
    for (const auto &[name, replica] : replicas_)
        total += replica.available ? replica.ramp.limit() : 0;
    return total;
}

std::optional<TimePoint> ReplicaSet::nextColdStart(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[name, replica] : replicas_) {
        const auto start = replica.available ? replica.cold.nextStart(now) : std::nullopt;
        if (start && (!next || *start < *next))
            next = start;
    }
    return next;
}

void ReplicaSet::onStarted(const std::string &name, TimePoint now)
{
    for (auto &[other, replica] : replicas_)
        ++replica.skippedCount;
    auto &started = replicas_.at(name);
    if (restrictions_)
        restrictions_->onStarted(name, now);
    if (started.inFlight == 0 && now - started.lastEnd > IdleRestartTime)
        started.ramp.onPossibleRestart();
    started.skippedCount = 0;
    ++started.inFlight;
    started.starts.push_back(now);
    started.cold.onStarted(now);
}

void ReplicaSet::onEnded(const std::string &name, const AttemptResult &result,
                         std::uint64_t snapshot, Duration latency, TimePoint now)
{
    if (restrictions_)
        restrictions_->onNotice(name, result.notice, now - latency, now);
    const auto found = replicas_.find(name);
    if (found == replicas_.end())
        return;
    auto &replica = found->second;
    --replica.inFlight;
    const auto start = std::find(replica.starts.begin(), replica.starts.end(), now - latency);
    replica.starts.erase(start == replica.starts.end() ? replica.starts.begin() : start);
    replica.ramp.onIncarnation(result.incarnation);
    replica.recordOutcome(result.end);
    const bool lost = result.end == AttemptEnd::Lost || result.end == AttemptEnd::NotWritten;
    if (lost && result.newConnection)
        replica.singleConnectionUntil = now + SingleConnectionTime;
    switch (result.end) {
    case AttemptEnd::Answered:
        replica.ramp.onSuccess(result.incarnation, latency);
        replica.scheduleProbe(latency, lowestLatency(), now);
        replica.recent.record(latency);
        replica.lastEnd = now;
        replica.answered = true;
        replica.failuresInRow = 0;
        if (replica.cold.mayHaveRestarted(now))
            replica.cold.onRestartConfirmed(now + replica.traits.coldTime);
        break;
    case AttemptEnd::Shed:
        replica.ramp.onShed();
        break;
    case AttemptEnd::SnapshotMissing:
        std::erase_if(replica.missing, [now](const auto &entry) { return entry.second <= now; });
        replica.missing[snapshot] = now + SnapshotMissingTtl;
        break;
    case AttemptEnd::Draining:
    case AttemptEnd::Oversized:
    case AttemptEnd::Failed:
        replica.avoid(now);
        replica.lastEnd = now;
        break;
    case AttemptEnd::Replaced:
        replica.replacedUntil = now + ReplacedTime;
        replica.ramp.reset();
        break;
    case AttemptEnd::NotWritten:
        replica.avoid(now);
        replica.ramp.reset();
        replica.cold.onPossibleRestart(now);
        break;
    case AttemptEnd::Cancelled:
    case AttemptEnd::TimedOut:
        replica.ramp.onUnfinished(latency);
        replica.scheduleProbe(latency, lowestLatency(), now);
        replica.recent.recordUnfinished(latency);
        break;
    case AttemptEnd::Lost:
        replica.avoid(now);
        replica.ramp.reset();
        break;
    default:
        break;
    }
    if (!replica.available && replica.inFlight == 0)
        replicas_.erase(found);
}

std::vector<ReplicaSet::UpstreamStatus> ReplicaSet::statuses() const
{
    std::vector<UpstreamStatus> statuses;
    for (const auto &[name, replica] : replicas_) {
        statuses.push_back({name, replica.available, replica.ramp.limit(), replica.ramp.share(),
                            replica.inFlight});
    }
    return statuses;
}

} // namespace persimmon::state
