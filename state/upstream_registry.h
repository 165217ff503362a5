#pragma once

#include "state/replica_set.h"
#include "state/routing_config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// What an upstream says of itself.
struct UpstreamRecord
{
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string failureDomain;
    /// Requests that it executes at the same time.
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds coldLeft{0};
    /// Start of this incarnation; orders incarnations that share an id.
    std::uint64_t born = 0;

    bool operator==(const UpstreamRecord &) const = default;
};

/// Where this host stands among the active hosts, which share limits.
struct HostShare
{
    std::uint32_t hosts = 1;
    /// Position among these hosts, from 0; nothing if this host is none of them.
    std::optional<std::uint32_t> position = 0;
    std::string region;

    bool operator==(const HostShare &) const = default;
};

/// Limits that hold for all hosts together.
struct SharedLimits
{
    /// Extra executions that a service may get in a window beside its ratio.
    double retryBurst = 10;
    /// Factor and slack on the rate that a cold upstream bears.
    double coldExcess = 1;
    double coldSlack = 0;

    bool operator==(const SharedLimits &) const = default;
};

/// The upstreams that are known, with what says whether and how they may be used.
class UpstreamRegistry
{
public:
    /// An upstream whose record was removed without draining is still the last choice for this
    /// time: records lapse while the store is away and return within two seconds after it.
    static constexpr std::chrono::milliseconds LapseTime{2200};

    explicit UpstreamRegistry(std::map<std::string, std::string> regionOfDomain)
        : regionOfDomain_(std::move(regionOfDomain))
    {
    }

    /// Takes a new or changed record.
    /// @return the services whose settings changed.
    std::set<std::string> update(const UpstreamRecord &record, TimePoint now);

    /// Takes the removal of a record, or one that cannot be read.
    std::set<std::string> remove(const std::string &id, TimePoint now);

    /// Takes a failure domain out of service or back in.
    std::set<std::string> setEvacuated(const std::string &domain, bool evacuated);

    /// Removes lapsed records whose time is over.
    std::set<std::string> expire(TimePoint now);

    /// @return when expire() is due next, if anything lapsed.
    std::optional<TimePoint> nextExpiry() const;

    /// @param homeRegions regions that may be used; empty for all.
    /// @return what the scheduler of the service needs.
    ServiceSettings settingsOf(const std::string &service, const ServiceInfo &info,
                               const std::vector<std::string> &homeRegions, const HostShare &share,
                               const SharedLimits &limits) const;

    /// @return the regions in which the service has an upstream that may be used.
    std::set<std::string> regionsOf(const std::string &service) const;

    const std::set<std::string> &evacuated() const { return evacuated_; }
    std::size_t size() const { return upstreams_.size(); }

private:
    struct Upstream
    {
        UpstreamRecord record;
        TimePoint coldUntil{};
        std::optional<TimePoint> lapsesAt;
    };

    bool isUsable(const Upstream &upstream) const;
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
