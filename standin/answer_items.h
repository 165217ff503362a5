#pragma once

#include "protocol/upstream_messages.h"

#include <string>

namespace persimmon::standin {

/// What a query object asks an upstream to do.
enum class QueryOperation { Search, Lookup, Pay, Crash };

/// @return the operation named by the member "op" of @p query; Search when there is none.
QueryOperation queryOperation(const std::string &query);

/// Derives the items of an answer from shard, snapshot and query alone. Each item names its shard
/// and snapshot.
/// @return a JSON array as text.
std::string makeItems(const protocol::ExecuteRequest &request);

} // namespace persimmon::standin
