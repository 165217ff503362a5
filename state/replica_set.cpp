#include "state/replica_set.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// How long a snapshot_missing answer is remembered.
constexpr std::chrono::seconds MissingMemory{1};
/// How long an upstream that drains or loses connections is the last choice, even while the others
/// are busy. Its in-flight count is low, so that it would otherwise attract all work.
constexpr std::chrono::milliseconds AvoidTime{500};

} // namespace

std::uint32_t shareOfSlots(std::uint32_t slots, bool first)
{
    return std::max<std::uint32_t>(1, first ? slots : slots / 2);
}

void ReplicaSet::configure(const ServiceSettings &settings)
{
    for (auto &[name, replica] : replicas_)
        replica.available = false;
    for (const auto &host : settings.available) {
        const UpstreamRamp fresh(settings.coldLimit, settings.share, settings.slots, settings.ramp);
        auto &replica =
                replicas_.try_emplace(host.name, Replica{host, fresh, true, 0, 0, {}, {}, {}})
                        .first->second;
        if (replica.host.address != host.address)
            replica.ramp = fresh;
        replica.host = host;
        replica.available = true;
        replica.ramp.configure(settings.coldLimit, settings.share, settings.slots);
    }
    std::erase_if(replicas_, [](const auto &row) {
        return !row.second.available && row.second.inFlight == 0;
    });
}

ReplicaSet::Choice ReplicaSet::choose(std::uint64_t snapshot, const std::set<std::string> &excluded,
                                      TimePoint now, bool mayProbe) const
{
    bool anyAvailable = false;
    bool anyHolds = false;
    bool anyPreferred = false;
    const auto unknown = lowestLatency();
    const auto isBetter = [mayProbe, unknown](const Replica &candidate, const Replica &best) {
        const bool probe = mayProbe && candidate.isProbeDue();
        if (probe != (mayProbe && best.isProbeDue()))
            return probe;
        return cost(candidate, unknown) < cost(best, unknown);
    };
    const Replica *best = nullptr;
    for (const auto &[name, replica] : replicas_) {
        if (!replica.available)
            continue;
        anyAvailable = true;
        if (replica.lacks(snapshot, now))
            continue;
        anyHolds = true;
        if (excluded.contains(name))
            continue;
        const bool preferred = now >= replica.avoidUntil;
        if (preferred && !anyPreferred)
            best = nullptr;
        anyPreferred = anyPreferred || preferred;
        if (replica.inFlight >= replica.ramp.limit() || (anyPreferred && !preferred))
            continue;
        if (best == nullptr || isBetter(replica, *best))
            best = &replica;
    }
    if (best != nullptr)
        return {Availability::Found, best->host};
    if (anyHolds)
        return {Availability::Busy, {}};
    return {anyAvailable ? Availability::SnapshotMissing : Availability::NoUpstream, {}};
}

bool ReplicaSet::Replica::lacks(std::uint64_t snapshot, TimePoint now) const
{
    const auto found = missing.find(snapshot);
    return found != missing.end() && now < found->second;
}

Duration ReplicaSet::lowestLatency() const
{
    auto lowest = Duration::max();
    for (const auto &[name, replica] : replicas_)
        lowest = std::min(lowest, replica.recent.median().value_or(lowest));
    return lowest;
}

double ReplicaSet::cost(const Replica &replica, Duration unknown)
{
    const double load = static_cast<double>(replica.inFlight) / replica.ramp.limit();
    return (1 + load) * static_cast<double>(replica.recent.median().value_or(unknown).count());
}

std::optional<Duration> ReplicaSet::recentLatency(const std::string &name) const
{
    const auto found = replicas_.find(name);
    return found == replicas_.end() ? std::nullopt : found->second.recent.median();
}

bool ReplicaSet::hasCapacity() const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [](const auto &row) {
        return row.second.available && row.second.inFlight < row.second.ramp.limit();
    });
}

std::size_t ReplicaSet::totalLimit() const
{
    std::size_t total = 0;
    for (const auto &[name, replica] : replicas_)
        total += replica.available ? replica.ramp.limit() : 0;
    return total;
}

void ReplicaSet::onStarted(const std::string &name)
{
    for (auto &[other, replica] : replicas_)
        ++replica.passedOver;
    auto &started = replicas_.at(name);
    started.passedOver = 0;
    ++started.inFlight;
}

void ReplicaSet::onEnded(const std::string &name, const AttemptResult &result,
                         std::uint64_t snapshot, Duration latency, TimePoint now)
{
    const auto found = replicas_.find(name);
    if (found == replicas_.end())
        return;
    auto &replica = found->second;
    --replica.inFlight;
    replica.ramp.onIncarnation(result.incarnation);
    switch (result.end) {
    case AttemptEnd::Answered:
        replica.ramp.onSuccess(result.incarnation, latency);
        replica.recent.record(latency);
        break;
    case AttemptEnd::Shed:
        replica.ramp.onShed();
        break;
    case AttemptEnd::SnapshotMissing:
        std::erase_if(replica.missing, [now](const auto &row) { return row.second <= now; });
        replica.missing[snapshot] = now + MissingMemory;
        break;
    case AttemptEnd::Draining:
        replica.avoidUntil = now + AvoidTime;
        break;
    case AttemptEnd::NotWritten:
        replica.avoidUntil = now + AvoidTime;
        replica.ramp.restart();
        break;
    case AttemptEnd::Cancelled:
    case AttemptEnd::TimedOut:
        replica.ramp.onUnfinished(latency);
        replica.recent.recordUnfinished(latency);
        break;
    case AttemptEnd::Lost:
        replica.avoidUntil = now + AvoidTime;
        replica.ramp.restart();
        break;
    default:
        break;
    }
    if (!replica.available && replica.inFlight == 0)
        replicas_.erase(found);
}

std::vector<ReplicaSet::Row> ReplicaSet::rows() const
{
    std::vector<Row> rows;
    for (const auto &[name, replica] : replicas_) {
        rows.push_back({name, replica.available, replica.ramp.limit(), replica.ramp.share(),
                        replica.inFlight});
    }
    return rows;
}

} // namespace persimmon::state
