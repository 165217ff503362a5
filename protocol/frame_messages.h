#pragma once

#include "protocol/priority.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::protocol {

/// Version of the frame protocol. Peers of another version are refused.
inline constexpr std::uint32_t FrameProtocolVersion = 1;

/// First message of each side of a frame connection.
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

/// Sent when nothing else was sent for the heartbeat interval.
struct Heartbeat
{
    std::uint64_t sequence = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// One shard of a batch and the service that holds it.
struct SubRequest
{
    std::string shard;
    std::string service;

    bool operator==(const SubRequest &) const = default;
};

/// All sub-requests of one query that go to one dispatcher.
struct Batch
{
    /// Unique among the batches of the connection's entry incarnation.
    std::uint64_t batchId = 0;
    /// Id of the query towards upstreams; the same for all sub-requests of a query.
    std::string requestId;
    std::string group;
    std::uint64_t snapshot = 0;
    std::uint64_t configRevision = 0;
    /// Time left until the deadline when the batch was sent.
    std::chrono::microseconds timeLeft{0};
    Priority priority = Priority::Normal;
    bool repeatable = true;
    /// Tokens that each primary execution adds to the extra-load budget.
    double extraLoad = 0.05;
    std::uint64_t fingerprint = 0;
    /// Whether this batch is the canary of a fingerprint that the entry has not seen before.
    bool canary = false;
    /// Query object as JSON text.
    std::string query;
    /// Key of a lookup; empty when the query has none.
    std::string key;
    std::vector<SubRequest> subRequests;

    bool operator==(const Batch &) const = default;
};

/// What is certain about the execution of a sub-request.
enum class SubOutcome { Done, NotRun, Unknown };

inline constexpr std::array<EnumName<SubOutcome>, 3> SubOutcomeNames{{
        {SubOutcome::Done, "done"},
        {SubOutcome::NotRun, "not_run"},
        {SubOutcome::Unknown, "unknown"},
}};

/// Why a sub-request has no answer.
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
    /// An upstream executed the request and reported a failure of its own.
    UpstreamFailed,
};

inline constexpr std::array<EnumName<SubError>, 12> SubErrorNames{{
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
}};

/// Result of one sub-request.
struct SubResult
{
    std::uint64_t batchId = 0;
    std::string shard;
    std::uint64_t snapshot = 0;
    SubOutcome outcome = SubOutcome::NotRun;
    SubError error = SubError::None;
    /// Items of the answer as the text of a JSON array; empty unless done.
    std::string items;
    /// Upstream executions that were started for this sub-request, hedges and retries included.
    std::uint32_t executions = 0;
    /// Name of the upstream that answered; empty unless done.
    std::string upstream;
    std::uint64_t configRevision = 0;

    bool operator==(const SubResult &) const = default;
};

/// Asks the dispatcher to end the named sub-requests of a batch; no shard names means all.
struct Cancel
{
    std::uint64_t batchId = 0;
    std::vector<std::string> shards;

    bool operator==(const Cancel &) const = default;
};

/// Any message of the frame protocol.
using FrameMessage = std::variant<Hello, Heartbeat, Batch, SubResult, Cancel>;

} // namespace persimmon::protocol
