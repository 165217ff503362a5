#pragma once

#include "measure/series.h"

#include <cstdint>

namespace persimmon::measure {

/// Memory and time of ViewStore and ClusterView by hosts and by configuration keys.
std::vector<Series> measureViews();

/// Time of rankDispatchers() by entry hosts, and of planning by shards and by upstreams.
std::vector<Series> measurePlanning();

/// Memory and time of IdempotencyStore by ids and of ServiceScheduler by services.
std::vector<Series> measureStores();

/// Bytes and time of exchange messages by what changed.
std::vector<Series> measureExchange();

/// Bytes and time of Batch and SubResult in MessagePack and JSON by sub-requests.
std::vector<Series> measureCodecs();

/// Rounds of exchange until a change that only the watchers have read is known to all agents. Runs
/// the exchange logic alone, without network and messages.
/// @param seed seed of the choice of peers; each size uses the same one.
std::vector<Series> measurePropagation(std::uint64_t seed);

} // namespace persimmon::measure
