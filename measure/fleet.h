#pragma once

#include "state/state.h"

#include <random>

namespace persimmon::measure {

/// Number of hosts in a made-up host list.
struct FleetSize
{
    std::size_t entryHosts = 0;
    std::size_t upstreams = 0;
};

/// Entry hosts and upstreams of the target (design page, section 2): 7,200 daemons, three on each
/// entry host.
inline constexpr FleetSize TargetFleet{2400, 100'000};
inline constexpr std::size_t FailureDomains = 16;
inline constexpr std::size_t UpstreamsOfService = 2;
/// Shards of a query at the target.
inline constexpr std::size_t TargetFanOut = 87;
/// Group and profile of the made-up configuration that planning uses.
inline constexpr const char *GroupName = "trial-field";
inline constexpr const char *ProfileName = "live-scoresheet";

/// @return a host list with names and addresses of the usual lengths.
std::vector<protocol::HostRecord> makeHosts(const FleetSize &size);

/// @return name of the service with the given number.
std::string serviceName(std::size_t number);

/// @return an accepted entry of a profile whose name contains @p number.
protocol::ConfigEntry makeProfile(std::size_t number, std::uint64_t revision);

/// @return a list of failure domains out of service as a configuration entry.
protocol::ConfigEntry makeOutDomains(std::uint64_t revision);

/// @return profile and index of a group of @p shards shards.
std::vector<protocol::ConfigEntry> makeGroup(std::size_t shards);

/// @return a store that holds the fleet, @p keys profiles and one group of @p shards shards.
state::ViewStore makeStore(const FleetSize &size, std::size_t keys, std::size_t shards);

/// Time that all measurements use as the present.
inline constexpr state::ViewStore::TimePoint Present{std::chrono::hours(1)};

} // namespace persimmon::measure
