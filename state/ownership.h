#pragma once

#include "state/cluster_view.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// Number of consecutive services of a group that share an owner, so that a query involves few
/// owners.
inline constexpr std::uint32_t ServicesPerBlock = 8;

/// Index of the available entry hosts of one view by failure domain. Ranking the dispatchers of
/// many services with it is much cheaper than iterating over all hosts for each service. The view
/// must outlive it.
class DispatcherRanking
{
public:
    explicit DispatcherRanking(const ClusterView &view);

    /// @return the first @p count names that rankDispatchers() returns.
    std::vector<std::string> first(std::string_view service, std::size_t count) const;

private:
    const ClusterView &view_;
    std::map<std::string_view, std::vector<const std::string *>> hosts_;
};

/// Ranks the dispatchers for @p service by rendezvous hashing of its block.
/// @param service name such as "index-07"; a trailing number selects the block.
/// @return the names of the available entry hosts: the owner first, then its fallbacks in order.
///         Hosts in the failure domains of the service's upstreams rank above all others.
std::vector<std::string> rankDispatchers(const ClusterView &view, std::string_view service);

/// Ranks the entries for a caller by rendezvous hashing of its name.
/// @return the names of the available entry hosts, best first.
std::vector<std::string> rankEntries(const ClusterView &view, std::string_view caller);

} // namespace persimmon::state
