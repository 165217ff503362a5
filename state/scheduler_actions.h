#pragma once

#include "protocol/protocol.h"
#include "state/decaying_latency_histogram.h"
#include "state/upstream_notice.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::state {

/// Scheduling parameters of a sub-request.
struct SubRequestSpec
{
    /// Unique within the dispatcher.
    std::uint64_t id = 0;
    std::uint64_t snapshot = 0;
    protocol::Priority priority = protocol::Priority::Normal;
    bool repeatable = true;
    /// Budget tokens that its first execution adds for hedges and retries.
    double extraLoad = 0.05;
    TimePoint deadline;
    std::uint64_t fingerprint = 0;
    /// Whether the fingerprint is unproven; such work is never hedged.
    bool canary = false;
    /// Class of work with common statistics of execution times, for example a route.
    std::uint32_t workClass = 0;
    /// Maximum number of upstreams that may execute it; 0 for no limit.
    std::uint32_t upstreamLimit = 0;
    /// Whether only a success is a result, as for a shard, whose replicas answer equally well.
    bool needsSuccess = false;
};

/// Result of one attempt.
enum class AttemptEnd {
    Answered,
    SnapshotMissing,
    /// The upstream rejected the request because of its load.
    Shed,
    Draining,
    BadRequest,
    /// No byte of the request was written.
    NotWritten,
    /// The connection was lost after the write.
    Lost,
    TimedOut,
    Cancelled,
    /// The reply could not be parsed or belonged to another request.
    Dropped,
    /// The reply exceeded a size limit; the upstream may send bytes without end.
    Oversized,
    /// The upstream executed the request and reported a failure of its own.
    Failed,
    /// The upstream executed the request and answered with a status from 300 to 499: a result,
    /// unless SubRequestSpec::needsSuccess is set.
    ErrorAnswer,
    /// Another instance uses the address; nothing was executed.
    Replaced,
    /// It was not sent, since its request crashes upstreams.
    Withheld,
};

inline constexpr std::array<EnumName<AttemptEnd>, 15> AttemptEndNames{{
        {AttemptEnd::Answered, "answered"},
        {AttemptEnd::SnapshotMissing, "snapshot_missing"},
        {AttemptEnd::Shed, "shed"},
        {AttemptEnd::Draining, "draining"},
        {AttemptEnd::BadRequest, "bad_request"},
        {AttemptEnd::NotWritten, "not_written"},
        {AttemptEnd::Lost, "lost"},
        {AttemptEnd::TimedOut, "timed_out"},
        {AttemptEnd::Cancelled, "cancelled"},
        {AttemptEnd::Dropped, "dropped"},
        {AttemptEnd::Oversized, "oversized"},
        {AttemptEnd::Failed, "failed"},
        {AttemptEnd::ErrorAnswer, "error_answer"},
        {AttemptEnd::Replaced, "replaced"},
        {AttemptEnd::Withheld, "withheld"},
}};

/// Result of an attempt as the I/O layer reports it.
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Lost;
    /// Incarnation of the upstream; empty if the reply contained none.
    std::string incarnation;
    /// Items of the answer as JSON text.
    std::string items;
    /// For TimedOut and Cancelled: whether any byte may have been written.
    bool written = true;
    /// Whether the attempt opened its connection instead of reusing one.
    bool newConnection = false;
    /// Number of the connection that carried the attempt, unique within the process; 0 if none did.
    std::uint64_t connection = 0;
    /// For Lost: whether the upstream accepted a connection right afterwards, so that its process
    /// has not ended.
    bool acceptsConnections = false;
    /// For Answered, ErrorAnswer and Failed: the answer to a forwarded request.
    std::shared_ptr<const protocol::ForwardedResponse> answer = {};
    UpstreamNotice notice = {};
};

/// @return whether the upstream may have executed the request of an attempt with this result.
bool mayHaveExecuted(const AttemptResult &result);

/// Reason for which an attempt is started.
enum class AttemptKind { Primary, Hedge, Retry };

inline constexpr std::array<EnumName<AttemptKind>, 3> AttemptKindNames{{
        {AttemptKind::Primary, "primary"},
        {AttemptKind::Hedge, "hedge"},
        {AttemptKind::Retry, "retry"},
}};

/// Instructs the caller to send sub-request @c id to @c upstream.
struct StartAttempt
{
    std::uint64_t id = 0;
    /// Number of the attempt within the sub-request, from 1.
    std::uint32_t attempt = 0;
    AttemptKind kind = AttemptKind::Primary;
    protocol::HostRecord upstream;
    /// Time at which the attempt must be aborted.
    TimePoint deadline;
};

/// Instructs the caller to close the connection of an attempt and notify the upstream.
struct CancelAttempt
{
    std::uint64_t id = 0;
    std::uint32_t attempt = 0;
    protocol::HostRecord upstream;
};

/// Instructs the caller to call onTimer() at this time. Replaces an earlier timer.
struct ScheduleTimer
{
    TimePoint at;
};

/// Reply to a sub-request; there is exactly one.
struct SubReply
{
    std::uint64_t id = 0;
    protocol::SubOutcome outcome = protocol::SubOutcome::NotRun;
    protocol::SubError error = protocol::SubError::None;
    std::string items;
    std::uint32_t executions = 0;
    std::string upstream;
    /// Answer to a forwarded request; for outcomes other than Done the error of an upstream.
    std::shared_ptr<const protocol::ForwardedResponse> answer = {};
};

/// Instructs the caller to report a fingerprint whose executions crashed upstreams, and to reject
/// it from now on.
struct QuarantineFingerprint
{
    std::uint64_t fingerprint = 0;
};

using SchedulerAction =
        std::variant<StartAttempt, CancelAttempt, ScheduleTimer, SubReply, QuarantineFingerprint>;
using SchedulerActions = std::vector<SchedulerAction>;

} // namespace persimmon::state
