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
    /// Attempt number, unique among the attempts of one request id and shard.
    std::uint64_t attempt = 0;
    std::string shard;
    std::uint64_t snapshot = 0;
    /// Time left until the deadline at the time of sending.
    std::chrono::milliseconds deadline{0};
    Priority priority = Priority::Normal;
    /// Query object as JSON text.
    std::string query;
    /// Key of a lookup; empty if the query has none.
    std::string key;

    bool operator==(const ExecuteRequest &) const = default;
};

/// Body of an upstream's 200 response.
struct ExecuteSuccess
{
    std::string requestId;
    std::uint64_t attempt = 0;
    std::string shard;
    std::uint64_t snapshot = 0;
    /// Changes with each start of the upstream.
    std::string incarnation;
    /// Result items as the text of a JSON array.
    std::string items;

    bool operator==(const ExecuteSuccess &) const = default;
};

/// Reason why an upstream did not execute a request.
enum class UpstreamRefusal { SnapshotMissing, Shed, Draining, BadRequest };

inline constexpr std::array<EnumName<UpstreamRefusal>, 4> UpstreamRefusalNames{{
        {UpstreamRefusal::SnapshotMissing, "snapshot_missing"},
        {UpstreamRefusal::Shed, "shed"},
        {UpstreamRefusal::Draining, "draining"},
        {UpstreamRefusal::BadRequest, "bad_request"},
}};

/// Body of an upstream's 400, 409 or 503 response. The request was not executed.
struct ExecuteRefusal
{
    UpstreamRefusal reason = UpstreamRefusal::Shed;
    std::string incarnation;
    /// Snapshots that are available on the upstream; set with SnapshotMissing only.
    std::vector<std::uint64_t> held;
    /// Id and attempt of the refused request; empty if the upstream does not echo them.
    std::string requestId = {};
    std::uint64_t attempt = 0;

    bool operator==(const ExecuteRefusal &) const = default;
};

/// Response of an upstream to POST /v1/execute.
using ExecuteResponse = std::variant<ExecuteSuccess, ExecuteRefusal>;

/// Body of POST /v1/cancel on an upstream.
struct CancelExecution
{
    std::string requestId;
    std::uint64_t attempt = 0;

    bool operator==(const CancelExecution &) const = default;
};

} // namespace persimmon::protocol
