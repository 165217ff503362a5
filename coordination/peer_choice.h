#pragma once

#include "state/cluster_view.h"
#include "transport/endpoint.h"

#include <string>
#include <vector>

namespace persimmon::coordination {

/// Agents of each failure domain that keep a watch open.
inline constexpr std::size_t WatchersInDomain = 2;

/// @return whether the agent of @p host is one of those that keep a watch open.
bool isWatcher(const state::ClusterView &view, const std::string &host);

/// @param port port of all agents.
/// @return the agents of up to @p count random entry hosts other than @p host.
std::vector<transport::Endpoint> randomPeers(const state::ClusterView &view,
                                             const std::string &host, std::uint16_t port,
                                             std::size_t count);

} // namespace persimmon::coordination
