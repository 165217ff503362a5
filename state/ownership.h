#pragma once

#include "state/cluster_view.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// Consecutive services of a group that share an owner, so that a query touches few owners.
inline constexpr std::uint32_t ServicesPerBlock = 8;

/// Ranks the dispatchers for @p service by rendezvous hashing of its block.
/// @param view the view to decide on.
/// @param service name such as "trial-field-07"; a trailing number selects the block.
/// @return names of available entry hosts; the first is the owner, the next takes over when the
///         first cannot be reached. Hosts in failure domains of the service's upstreams come first.
std::vector<std::string> rankDispatchers(const ClusterView &view, std::string_view service);

/// Ranks the entries for a caller.
/// @return names of available entry hosts, best first.
std::vector<std::string> rankEntries(const ClusterView &view, std::string_view caller);

} // namespace persimmon::state
