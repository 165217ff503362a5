#pragma once

#include "state/cluster_view.h"
#include "transport/endpoint.h"

#include <string>
#include <vector>

namespace persimmon::coordination {

/// Number of agents per failure domain that keep a watch on the configuration service open.
inline constexpr std::size_t WatchingAgentsPerDomain = 2;

/// @return whether the agent of @p host is among those that keep a watch open.
bool isWatchingAgent(const state::ClusterView &view, const std::string &host);

/// @param port listening port of all agents.
/// @return endpoints of the agents on up to @p count randomly chosen entry hosts other than
///         @p host.
std::vector<transport::Endpoint> randomAgentPeers(const state::ClusterView &view,
                                                  const std::string &host, std::uint16_t port,
                                                  std::size_t count);

} // namespace persimmon::coordination
