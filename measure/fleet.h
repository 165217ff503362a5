#pragma once

#include "state/state.h"

#include <random>

namespace persimmon::measure {

/// Number of hosts in a generated host list.
struct FleetSize
{
    std::size_t entryHosts = 0;
    std::size_t upstreams = 0;
};

/// Target size (design page, section 2): 2,400 entry hosts with three daemons each, 7,200 in all,
/// and 100,000 upstreams.
inline constexpr FleetSize TargetFleet{2400, 100'000};
inline constexpr std::size_t FailureDomains = 16;
inline constexpr std::size_t UpstreamsPerService = 2;
/// Shards of one query at the target size.
inline constexpr std::size_t TargetFanOut = 87;
/// Group and profile in the generated configuration.
inline constexpr const char *GroupName = "trial-field";
inline constexpr const char *ProfileName = "live-scoresheet";

/// @return a generated host list with names and addresses of typical length.
std::vector<protocol::HostRecord> makeHosts(const FleetSize &size);

/// @return name of the service with the given number.
std::string serviceName(std::size_t number);

/// @return a valid configuration entry of the profile with the given number.
protocol::ConfigEntry makeProfile(std::size_t number, std::uint64_t revision);

/// @return a configuration entry that takes one failure domain, selected by @p revision, out of
///         service.
protocol::ConfigEntry makeOutOfService(std::uint64_t revision);

/// @return configuration entries with the index and the profile of a group of @p shards shards.
std::vector<protocol::ConfigEntry> makeGroupConfig(std::size_t shards);

/// @return a ready store with the host list, @p keys profiles and, unless @p shards is 0, one
///         group of @p shards shards.
state::ViewStore makeViewStore(const FleetSize &size, std::size_t keys, std::size_t shards);

/// Current time in all measurements.
inline constexpr state::ViewStore::TimePoint FixedNow{std::chrono::hours(1)};

} // namespace persimmon::measure
