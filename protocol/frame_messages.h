#pragma once

#include "protocol/priority.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::protocol {

/// Version of the frame protocol. Connections from peers with a different version are refused.
inline constexpr std::uint32_t FrameProtocolVersion = 1;

/// First message that each side sends on a frame connection.
struct Hello
{
    std::uint32_t version = FrameProtocolVersion;
    /// Name of the sender's host.
    std::string host;
    /// Random number chosen when the sender started.
    std::uint64_t incarnation = 0;
    std::uint64_t configRevision = 0;

    bool operator==(const Hello &) const = default;
};

/// Keeps an idle connection alive; sent if no other frame was sent for the heartbeat interval.
struct Heartbeat
{
    std::uint64_t sequence = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// Request for one shard of a batch and the service that serves the shard.
struct SubRequest
{
    std::string shard;
    std::string service;

    bool operator==(const SubRequest &) const = default;
};

/// All sub-requests of one query that are sent to one dispatcher.
struct Batch
{
    /// Unique among the batches of one incarnation of the sending entry.
    std::uint64_t batchId = 0;
    /// Request id sent to upstreams; the same for all sub-requests of a query.
    std::string requestId;
    std::string group;
    std::uint64_t snapshot = 0;
    std::uint64_t configRevision = 0;
    /// Time left until the deadline when the batch was sent.
    std::chrono::microseconds timeLeft{0};
    Priority priority = Priority::Normal;
    bool repeatable = true;
    /// Number of tokens that each primary execution adds to the extra-load budget.
    double extraLoad = 0.05;
    std::uint64_t fingerprint = 0;
    /// Whether this batch is the canary for a fingerprint that is new to the entry.
    bool canary = false;
    /// Query object as JSON text.
    std::string query;
    /// Key of a lookup; empty if the query has none.
    std::string key;
    std::vector<SubRequest> subRequests;

    bool operator==(const Batch &) const = default;
};

/// Execution state of a sub-request: executed, not executed, or possibly executed.
enum class SubOutcome { Done, NotRun, Unknown };

inline constexpr std::array<EnumName<SubOutcome>, 3> SubOutcomeNames{{
        {SubOutcome::Done, "done"},
        {SubOutcome::NotRun, "not_run"},
        {SubOutcome::Unknown, "unknown"},
}};

/// Reason why a sub-request has no result items.
enum class SubError {
    None,
    Overloaded,
    SnapshotMissing,
    NoUpstream,
    DeadlineOver,
    DeadlineExceeded,
    Quarantined,
    ShuttingDown,
    ConnectionLost,
    StaleView,
    Malformed,
    /// The upstream executed the request and responded with an error.
    UpstreamFailed,
    /// All upstreams have stated that they accept no request now.
    Restricted,
};

inline constexpr std::array<EnumName<SubError>, 13> SubErrorNames{{
        {SubError::None, "none"},
        {SubError::Overloaded, "overloaded"},
        {SubError::SnapshotMissing, "snapshot_missing"},
        {SubError::NoUpstream, "no_upstream"},
        {SubError::DeadlineOver, "deadline_over"},
        {SubError::DeadlineExceeded, "deadline_exceeded"},
        {SubError::Quarantined, "quarantined"},
        {SubError::ShuttingDown, "shutting_down"},
        {SubError::ConnectionLost, "connection_lost"},
        {SubError::StaleView, "stale_view"},
        {SubError::Malformed, "malformed"},
        {SubError::UpstreamFailed, "upstream_failed"},
        {SubError::Restricted, "restricted"},
}};

/// Result of one sub-request.
struct SubResult
{
    std::uint64_t batchId = 0;
    std::string shard;
    std::uint64_t snapshot = 0;
    SubOutcome outcome = SubOutcome::NotRun;
    SubError error = SubError::None;
    /// Result items as the text of a JSON array; empty unless the outcome is Done.
    std::string items;
    /// Number of upstream executions started for this sub-request, including hedges and retries.
    std::uint32_t executions = 0;
    /// Name of the upstream that sent the result; empty unless the outcome is Done.
    std::string upstream;
    std::uint64_t configRevision = 0;

    bool operator==(const SubResult &) const = default;
};

/// Cancels sub-requests of a batch on the dispatcher; an empty list of shards cancels all.
struct Cancel
{
    std::uint64_t batchId = 0;
    std::vector<std::string> shards;

    bool operator==(const Cancel &) const = default;
};

/// Any message of the frame protocol.
using FrameMessage = std::variant<Hello, Heartbeat, Batch, SubResult, Cancel>;

} // namespace persimmon::protocol
