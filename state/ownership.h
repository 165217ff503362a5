#pragma once

#include "state/cluster_view.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// Consecutive services of a group that share an owner, so that a query touches few owners.
inline constexpr std::uint32_t ServicesPerBlock = 8;

/// The available entry hosts of one view, which must outlive it, by failure domain. Ranking the
/// dispatchers of many services on it costs far less than a walk over all hosts for each service.
class DispatcherRanking
{
public:
    explicit DispatcherRanking(const ClusterView &view);

    /// @return the first @p count names of rankDispatchers().
    std::vector<std::string> first(std::string_view service, std::size_t count) const;

private:
    const ClusterView &view_;
    std::map<std::string_view, std::vector<const std::string *>> hosts_;
};

/// Ranks the dispatchers for @p service by rendezvous hashing of its block.
/// @param view the view to decide on.
/// @param service name such as "index-07"; a trailing number selects the block.
/// @return names of available entry hosts; the first is the owner, the next takes over when the
///         first cannot be reached. Hosts in failure domains of the service's upstreams come first.
std::vector<std::string> rankDispatchers(const ClusterView &view, std::string_view service);

/// Ranks the entries for a caller.
/// @return names of available entry hosts, best first.
std::vector<std::string> rankEntries(const ClusterView &view, std::string_view caller);

} // namespace persimmon::state
