#pragma once

#include "state/host_share.h"
#include "state/replica_set.h"
#include "state/routing_config.h"
#include "state/store_availability.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// Registration record that an upstream publishes.
struct UpstreamRecord
{
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string failureDomain;
    /// Number of requests that it executes concurrently.
    std::uint32_t slots = 1;
    bool draining = false;
    /// Remaining warm-up time.
    std::chrono::milliseconds coldTimeLeft{0};
    /// Start of the upstream's process; orders incarnations that share an id.
    std::uint64_t incarnation = 0;

    bool operator==(const UpstreamRecord &) const = default;
};

/// Limits that apply to all hosts in sum.
struct SharedLimits
{
    /// Retries and hedges of a service that are allowed per window in addition to the ratio.
    double retryBurst = 10;
    /// Factor and additive slack on the request rate of a cold upstream.
    double coldExcess = 1;
    double coldSlack = 0;

    bool operator==(const SharedLimits &) const = default;
};

/// Why an upstream is left, or kept as a last resort, after its registration was removed.
enum class RemovalReason {
    Draining,
    /// No outage of the store is known, or the last one is over for long enough.
    StoreAnswers,
    /// Nothing is known of the store's answers.
    StoreUnknown,
    /// The registration may have expired in an outage of the store.
    StoreOutage,
};

inline constexpr std::array<EnumName<RemovalReason>, 4> RemovalReasonNames{{
        {RemovalReason::Draining, "draining"},
        {RemovalReason::StoreAnswers, "store_answers"},
        {RemovalReason::StoreUnknown, "store_unknown"},
        {RemovalReason::StoreOutage, "store_outage"},
}};

/// Decision on an upstream whose registration was removed.
struct UpstreamRemoval
{
    std::string service;
    RemovalReason reason = RemovalReason::Draining;
    /// Whether the upstream is kept as a last resort.
    bool isKept = false;

    bool operator==(const UpstreamRemoval &) const = default;
};

/// Upstream that is no longer used after its registration was removed.
struct ExpiredUpstream
{
    std::string id;
    std::string service;
    /// Time since this host heard of the removal.
    Duration keptFor{};

    bool operator==(const ExpiredUpstream &) const = default;
};

/// Registered upstreams, from which the scheduler settings of each service are computed.
class UpstreamRegistry
{
public:
    /// Time after the store answers again for which an upstream whose record is removed without
    /// draining stays usable as a last resort: records expire during an outage of the store and
    /// reappear within two seconds of its end. The record of an upstream that is removed while the
    /// store answers does not return, so an upstream is kept only if an outage is known.
    static constexpr std::chrono::milliseconds RemovalGracePeriod{2200};

    explicit UpstreamRegistry(std::map<std::string, std::string> regionOfDomain)
        : regionOfDomain_(std::move(regionOfDomain))
    {
    }

    /// Adds or updates a record.
    /// @return the services whose settings changed.
    std::set<std::string> update(const UpstreamRecord &record, TimePoint now);

    /// Handles the removal of a record, or a record that cannot be decoded.
    /// @param store what is known of the store's outages at @p now.
    /// @return the decision; std::nullopt if the upstream is unknown or was removed before.
    std::optional<UpstreamRemoval> remove(const std::string &id, TimePoint now,
                                          const StoreAvailability &store);

    /// Takes a failure domain out of service or returns it to service.
    /// @return the services whose settings changed.
    std::set<std::string> setEvacuated(const std::string &domain, bool evacuated);

    /// Removes upstreams whose grace period is over. That may be earlier than expected at the
    /// removal, if it has become known since that the store had no outage.
    /// @return the removed upstreams.
    std::vector<ExpiredUpstream> expire(TimePoint now, const StoreAvailability &store);

    /// @return the number of removed upstreams in their grace period.
    std::size_t removedCount() const;

    /// @param homeRegions regions that may be used; empty for all.
    /// @return the settings of the service's scheduler.
    ServiceSettings settingsOf(const std::string &service, const ServiceInfo &info,
                               const std::vector<std::string> &homeRegions, const HostShare &share,
                               const SharedLimits &limits) const;

    /// @return the regions in which the service has a usable upstream.
    std::set<std::string> regionsOf(const std::string &service) const;

    /// @return the number of upstreams that may be used.
    std::size_t usableCount() const;

    /// @return up to @p count random upstreams that may be used, of as many failure domains as
    ///         possible.
    std::vector<protocol::HostRecord> sampleUpstreams(std::size_t count,
                                                      std::mt19937_64 &random) const;

    /// @return UpstreamRecord::incarnation of an upstream; 0 if it is not registered.
    std::uint64_t incarnationOf(const std::string &id) const;

    const std::set<std::string> &evacuated() const { return evacuated_; }
    std::size_t size() const { return upstreams_.size(); }

private:
    struct Upstream
    {
        UpstreamRecord record;
        TimePoint coldUntil{};
        /// When this host heard of the removal of the registration.
        std::optional<TimePoint> removedAt;
    };

    bool isUsable(const Upstream &upstream) const;
    static RemovalReason removalReasonOf(const Upstream &upstream, TimePoint now,
                                         const StoreAvailability &store);
    static bool isGraceOver(const Upstream &upstream, TimePoint now,
                            const StoreAvailability &store);
    static protocol::HostRecord toHostRecord(const UpstreamRecord &record);
    const std::string &regionOf(const UpstreamRecord &record) const;
    static std::uint32_t coldRateOf(const UpstreamRecord &record, const ServiceInfo &info,
                                    const HostShare &share, const SharedLimits &limits);
    UpstreamTraits traitsOf(const Upstream &upstream, const ServiceInfo &info,
                            const HostShare &share, const SharedLimits &limits) const;

    std::map<std::string, std::string> regionOfDomain_;
    std::map<std::string, Upstream> upstreams_;
    std::map<std::string, std::set<std::string>> idsOfService_;
    std::set<std::string> evacuated_;
};

} // namespace persimmon::state
