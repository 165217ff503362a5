#pragma once

#include "protocol/upstream_messages.h"

#include <string>

namespace persimmon::standin {

/// Operation that a query requests from an upstream.
enum class QueryOperation { Search, Lookup, Pay, Crash };

/// @return the operation in the member "op" of @p query; Search if it is missing or unknown.
QueryOperation queryOperation(const std::string &query);

/// Generates the result items of a request. They depend only on shard, snapshot, query and the
/// request's key and id, so that replicas return equal items. Each item contains its shard and
/// snapshot.
/// @return serialized JSON array.
std::string makeResultItems(const protocol::ExecuteRequest &request);

} // namespace persimmon::standin
