#include "state/upstream_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace persimmon::state {

namespace {

/// Fraction of a shared limit that is divided among the hosts; the rest covers hosts that have not
/// discovered each other yet.
constexpr double DividedFraction = 0.8;
/// Requests in flight beyond the slots of an upstream, so that a freed slot starts the next request
/// at once.
constexpr std::uint32_t PipelinedRequests = 1;
/// Factor on the latency of an upstream in another region, as its responses cost transfer.
constexpr double OtherRegionCostFactor = 1.6;
/// Burst of extra executions of a service on a host that is not active.
constexpr double IdleHostBurst = 0.2;
/// The retry budget of the platform covers hedging one request in six.
constexpr double HedgeQuantile = 0.85;
constexpr double MinHedgeMedians = 1.5;
/// Allows hedging to an upstream in another region, which responds later than the hedge delay of
/// one in the same region.
constexpr double StragglerFactor = 4;
/// Added to the reported warm-up time, which may end too early by this much.
constexpr std::chrono::milliseconds WarmUpMargin{300};

} // namespace

std::set<std::string> UpstreamRegistry::update(const UpstreamRecord &record, TimePoint now)
{
    auto &upstream = upstreams_[record.id];
    std::set<std::string> changed{record.service};
    if (!upstream.record.service.empty() && upstream.record.service != record.service) {
        changed.insert(upstream.record.service);
        idsOfService_[upstream.record.service].erase(record.id);
    }
    upstream.record = record;
    upstream.removedAt.reset();
    if (record.coldTimeLeft.count() > 0)
        upstream.coldUntil = now + record.coldTimeLeft + WarmUpMargin;
    idsOfService_[record.service].insert(record.id);
    return changed;
}

bool UpstreamRegistry::isGraceOver(const Upstream &upstream, TimePoint now,
                                   const StoreAvailability &store)
{
    if (!upstream.removedAt)
        return false;
    const auto outageEnd = store.outageEnd();
    return !outageEnd || now >= std::min(*outageEnd, *upstream.removedAt) + RemovalGracePeriod;
}

RemovalReason UpstreamRegistry::removalReasonOf(const Upstream &upstream, TimePoint now,
                                                const StoreAvailability &store)
{
    if (upstream.record.draining)
        return RemovalReason::Draining;
    if (!isGraceOver(upstream, now, store))
        return RemovalReason::StoreOutage;
    return store.period() ? RemovalReason::StoreAnswers : RemovalReason::StoreUnknown;
}

std::optional<UpstreamRemoval> UpstreamRegistry::remove(const std::string &id, TimePoint now,
                                                        const StoreAvailability &store)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() || found->second.removedAt)
        return std::nullopt;
    auto &upstream = found->second;
    upstream.removedAt = now;
    UpstreamRemoval removal{upstream.record.service, removalReasonOf(upstream, now, store)};
    removal.isKept = removal.reason == RemovalReason::StoreOutage;
    if (!removal.isKept) {
        idsOfService_[removal.service].erase(id);
        upstreams_.erase(found);
    }
    return removal;
}

std::set<std::string> UpstreamRegistry::setEvacuated(const std::string &domain, bool evacuated)
{
    const bool changed =
            evacuated ? evacuated_.insert(domain).second : evacuated_.erase(domain) > 0;
    std::set<std::string> services;
    if (!changed)
        return services;
    for (const auto &[id, upstream] : upstreams_) {
        if (upstream.record.failureDomain == domain)
            services.insert(upstream.record.service);
    }
    return services;
}

std::vector<ExpiredUpstream> UpstreamRegistry::expire(TimePoint now, const StoreAvailability &store)
{
    std::vector<ExpiredUpstream> expired;
    std::erase_if(upstreams_, [&](const auto &entry) {
        const auto &[id, upstream] = entry;
        if (!isGraceOver(upstream, now, store))
            return false;
        expired.push_back({id, upstream.record.service, now - *upstream.removedAt});
        idsOfService_[upstream.record.service].erase(id);
        return true;
    });
    return expired;
}

std::size_t UpstreamRegistry::removedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(upstreams_.begin(), upstreams_.end(),
                          [](const auto &entry) { return entry.second.removedAt.has_value(); }));
}

bool UpstreamRegistry::isUsable(const Upstream &upstream) const
{
    return !upstream.record.draining && !evacuated_.contains(upstream.record.failureDomain);
}

const std::string &UpstreamRegistry::regionOf(const UpstreamRecord &record) const
{
    static const std::string unknown;
    const auto found = regionOfDomain_.find(record.failureDomain);
    return found == regionOfDomain_.end() ? unknown : found->second;
}

std::uint32_t UpstreamRegistry::coldRateOf(const UpstreamRecord &record, const ServiceInfo &info,
                                           const HostShare &share, const SharedLimits &limits)
{
    if (!share.position)
        return 0;
    const auto total = (info.coldRate * limits.coldExcess + limits.coldSlack) * DividedFraction;
    // Rotates the position by upstream, so that the remainders do not all go to the same hosts.
    const auto rotation = XXH64(record.id.data(), record.id.size(), 0);
    const auto position = static_cast<std::uint32_t>((*share.position + rotation) % share.hosts);
    return limitShare(static_cast<std::uint32_t>(std::floor(total)), share.hosts, position);
}

UpstreamTraits UpstreamRegistry::traitsOf(const Upstream &upstream, const ServiceInfo &info,
                                          const HostShare &share, const SharedLimits &limits) const
{
    UpstreamTraits traits;
    const auto connections = info.maxConnections / (share.hosts + 1);
    traits.limit = std::max<std::uint32_t>(1, upstream.record.slots + PipelinedRequests);
    if (info.maxConnections > 0)
        traits.limit = std::min(traits.limit, std::max<std::uint32_t>(1, connections));
    traits.costFactor = regionOf(upstream.record) == share.region ? 1 : OtherRegionCostFactor;
    traits.coldUntil = upstream.coldUntil;
    traits.coldTime = info.coldTime;
    traits.lastResort = upstream.removedAt.has_value();
    if (info.coldRate > 0)
        traits.coldRate = coldRateOf(upstream.record, info, share, limits);
    return traits;
}

ServiceSettings UpstreamRegistry::settingsOf(const std::string &service, const ServiceInfo &info,
                                             const std::vector<std::string> &homeRegions,
                                             const HostShare &share,
                                             const SharedLimits &limits) const
{
    ServiceSettings settings;
    settings.ramp = false;
    settings.hedgeQuantile = HedgeQuantile;
    settings.minHedgeMedians = MinHedgeMedians;
    settings.stragglerFactor = StragglerFactor;
    settings.crashTracking = false;
    settings.sharedConnectionLimit = true;
    // A host that is not active may still serve callers that selected it earlier.
    const double burst = limits.retryBurst * DividedFraction / share.hosts;
    settings.extraLoad = {share.position ? burst : std::min(burst, IdleHostBurst), true};
    const auto ids = idsOfService_.find(service);
    if (ids == idsOfService_.end())
        return settings;
    for (const auto &id : ids->second) {
        const auto &upstream = upstreams_.at(id);
        const auto &region = regionOf(upstream.record);
        const bool home =
                homeRegions.empty()
                || std::find(homeRegions.begin(), homeRegions.end(), region) != homeRegions.end();
        if (!home || !isUsable(upstream))
            continue;
        const auto traits = traitsOf(upstream, info, share, limits);
        settings.available.push_back(toHostRecord(upstream.record));
        settings.traits.emplace(id, traits);
        settings.share = std::max(settings.share, traits.limit);
    }
    settings.slots = settings.share;
    return settings;
}

protocol::HostRecord UpstreamRegistry::toHostRecord(const UpstreamRecord &record)
{
    return {record.id,      protocol::HostKind::Upstream, record.address, record.failureDomain,
            record.service, protocol::HostState::Live};
}

std::size_t UpstreamRegistry::usableCount() const
{
    return static_cast<std::size_t>(
            std::count_if(upstreams_.begin(), upstreams_.end(),
                          [this](const auto &entry) { return isUsable(entry.second); }));
}

std::vector<protocol::HostRecord> UpstreamRegistry::sampleUpstreams(std::size_t count,
                                                                    std::mt19937_64 &random) const
{
    std::map<std::string, std::vector<const UpstreamRecord *>> byDomain;
    for (const auto &[id, upstream] : upstreams_) {
        if (isUsable(upstream))
            byDomain[upstream.record.failureDomain].push_back(&upstream.record);
    }
    std::vector<std::vector<const UpstreamRecord *>> domains;
    for (auto &[domain, records] : byDomain) {
        std::shuffle(records.begin(), records.end(), random);
        domains.push_back(std::move(records));
    }
    std::shuffle(domains.begin(), domains.end(), random);
    std::vector<protocol::HostRecord> sample;
    for (std::size_t rank = 0; sample.size() < count; ++rank) {
        const auto before = sample.size();
        for (const auto &records : domains) {
            if (rank < records.size() && sample.size() < count)
                sample.push_back(toHostRecord(*records[rank]));
        }
        if (sample.size() == before)
            break;
    }
    return sample;
}

std::uint64_t UpstreamRegistry::incarnationOf(const std::string &id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? 0 : found->second.record.incarnation;
}

std::set<std::string> UpstreamRegistry::regionsOf(const std::string &service) const
{
    std::set<std::string> regions;
    const auto ids = idsOfService_.find(service);
    if (ids == idsOfService_.end())
        return regions;
    for (const auto &id : ids->second) {
        const auto &upstream = upstreams_.at(id);
        if (isUsable(upstream))
            regions.insert(regionOf(upstream.record));
    }
    return regions;
}

} // namespace persimmon::state
