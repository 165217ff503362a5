#pragma once

#include "protocol/priority.h"
#include "protocol/protocol_error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::protocol {

/// Body of POST /v1/execute on an upstream.
struct ExecuteRequest
{
    std::string requestId;
    /// Number of the attempt; unique among the attempts of one request id and shard.
    std::uint64_t attempt = 0;
    std::string shard;
    std::uint64_t snapshot = 0;
    /// Time left until the deadline when the request was sent.
    std::chrono::milliseconds deadline{0};
    Priority priority = Priority::Normal;
    /// Query object as JSON text.
    std::string query;
    /// Key of a lookup; empty when the query has none.
    std::string key;

    bool operator==(const ExecuteRequest &) const = default;
};

/// 200 answer of an upstream.
struct ExecuteSuccess
{
    std::string requestId;
    std::uint64_t attempt = 0;
    std::string shard;
    std::uint64_t snapshot = 0;
    /// Changes whenever the upstream starts.
    std::string incarnation;
    /// Items as the text of a JSON array.
    std::string items;

    bool operator==(const ExecuteSuccess &) const = default;
};

/// Why an upstream did not execute a request.
enum class UpstreamRefusal { SnapshotMissing, Shed, Draining, BadRequest };

inline constexpr std::array<EnumName<UpstreamRefusal>, 4> UpstreamRefusalNames{{
        {UpstreamRefusal::SnapshotMissing, "snapshot_missing"},
        {UpstreamRefusal::Shed, "shed"},
        {UpstreamRefusal::Draining, "draining"},
        {UpstreamRefusal::BadRequest, "bad_request"},
}};

/// 409, 503 or 400 answer of an upstream. The request was not executed.
struct ExecuteRefusal
{
    UpstreamRefusal reason = UpstreamRefusal::Shed;
    std::string incarnation;
    /// Snapshots that the upstream holds, with SnapshotMissing.
    std::vector<std::uint64_t> held;

    bool operator==(const ExecuteRefusal &) const = default;
};

/// What an upstream answered.
using ExecuteResponse = std::variant<ExecuteSuccess, ExecuteRefusal>;

/// Body of POST /v1/cancel on an upstream.
struct CancelExecution
{
    std::string requestId;
    std::uint64_t attempt = 0;

    bool operator==(const CancelExecution &) const = default;
};

} // namespace persimmon::protocol
