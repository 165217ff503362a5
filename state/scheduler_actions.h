#pragma once

#include "protocol/protocol.h"
#include "state/latency_record.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::state {

/// A sub-request as the scheduler of its service sees it.
struct SubWork
{
    /// Unique among the sub-requests of the dispatcher.
    std::uint64_t id = 0;
    std::uint64_t snapshot = 0;
    protocol::Priority priority = protocol::Priority::Normal;
    bool repeatable = true;
    double extraLoad = 0.05;
    TimePoint deadline;
    std::uint64_t fingerprint = 0;
    /// Whether the fingerprint has not been seen before; such work is never hedged.
    bool canary = false;
    /// Kind of work whose execution times are recorded together, for example a route.
    std::uint32_t workClass = 0;
    /// Upstreams that may execute it; 0 sets no limit.
    std::uint32_t upstreamLimit = 0;
};

/// How one attempt ended.
enum class AttemptEnd {
    Answered,
    SnapshotMissing,
    Shed,
    Draining,
    BadRequest,
    /// No byte of the request was written.
    NotWritten,
    /// The connection was lost after the write.
    Lost,
    TimedOut,
    Cancelled,
    /// The reply was unreadable or belonged to another request.
    Dropped,
    /// The upstream executed the request and reported a failure of its own.
    Failed,
    /// Another instance has the address; nothing was executed.
    Replaced,
};

inline constexpr std::array<EnumName<AttemptEnd>, 12> AttemptEndNames{{
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
        {AttemptEnd::Failed, "failed"},
        {AttemptEnd::Replaced, "replaced"},
}};

/// What the I/O code reports when an attempt ends.
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Lost;
    /// Incarnation of the upstream, when a reply carried one.
    std::string incarnation;
    /// Items of an answer as JSON text.
    std::string items;
    /// Whether a byte may have been written, with TimedOut and Cancelled.
    bool written = true;
    /// What a forwarded request was answered, with Answered and Failed.
    std::shared_ptr<const protocol::ForwardedAnswer> answer = {};
};

/// Why an attempt is started.
enum class AttemptKind { Primary, Hedge, Retry };

inline constexpr std::array<EnumName<AttemptKind>, 3> AttemptKindNames{{
        {AttemptKind::Primary, "primary"},
        {AttemptKind::Hedge, "hedge"},
        {AttemptKind::Retry, "retry"},
}};

/// Send sub-request @c id to @c upstream.
struct StartAttempt
{
    std::uint64_t id = 0;
    /// Number of the attempt among those of the sub-request, from 1.
    std::uint32_t attempt = 0;
    AttemptKind kind = AttemptKind::Primary;
    protocol::HostRecord upstream;
    /// When the attempt must be given up.
    TimePoint deadline;
};

/// Close the connection of an attempt and tell the upstream.
struct CancelAttempt
{
    std::uint64_t id = 0;
    std::uint32_t attempt = 0;
    protocol::HostRecord upstream;
};

/// Call onTimer() at this time. Replaces an earlier timer.
struct ScheduleTimer
{
    TimePoint at;
};

/// The one reply to a sub-request.
struct SubReply
{
    std::uint64_t id = 0;
    protocol::SubOutcome outcome = protocol::SubOutcome::NotRun;
    protocol::SubError error = protocol::SubError::None;
    std::string items;
    std::uint32_t executions = 0;
    std::string upstream;
    /// Answer to a forwarded request; with an outcome other than Done a failure of an upstream.
    std::shared_ptr<const protocol::ForwardedAnswer> answer = {};
};

/// Report a fingerprint whose executions crashed upstreams, and refuse it from now on.
struct QuarantineFingerprint
{
    std::uint64_t fingerprint = 0;
};

using SchedulerAction =
        std::variant<StartAttempt, CancelAttempt, ScheduleTimer, SubReply, QuarantineFingerprint>;
using SchedulerActions = std::vector<SchedulerAction>;

} // namespace persimmon::state
