#pragma once

#include "measure/series.h"

#include <cstdint>

namespace persimmon::measure {

/// Memory and CPU time of ViewStore and ClusterView by the number of upstreams, entry hosts and
/// configuration keys.
std::vector<Series> measureViews();

/// CPU time of rankDispatchers() by the number of entry hosts, and of query planning by the number
/// of entry hosts, shards and upstreams.
std::vector<Series> measurePlanning();

/// Memory and CPU time of IdempotencyStore by the number of ids, and of ServiceScheduler by the
/// number of services.
std::vector<Series> measureStores();

/// Size of exchange messages by the number of changed keys, incarnations and hosts, and CPU time to
/// encode and decode a reply.
std::vector<Series> measureExchange();

/// Size and CPU time of Batch and SubResult in MessagePack and JSON by the number of sub-requests.
std::vector<Series> measureCodecs();

/// Gossip rounds until all agents hold a change that initially only the agents that watch the store
/// hold. Runs the exchange logic alone, without network and message encoding.
/// @param seed seed of the peer selection; the same for each number of agents.
std::vector<Series> measurePropagation(std::uint64_t seed);

/// Propagation of a new epoch of one host: number of agents without it after its propagation time,
/// and number of incarnation entries for it that all agents sent in total. Runs the exchange logic
/// alone, as above.
/// @param seed seed of the peer selection; the same for each number of agents.
std::vector<Series> measureEpochPropagation(std::uint64_t seed);

} // namespace persimmon::measure
