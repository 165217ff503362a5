#pragma once

#include "protocol/protocol_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::protocol {

/// Maximum body size of a caller's request, in bytes.
inline constexpr std::size_t CallerBodyLimit = 1024U * 1024U;

/// Execution state of a caller's request: executed, not executed, or possibly executed.
enum class Outcome { Done, NotRun, Unknown };

inline constexpr std::array<EnumName<Outcome>, 3> OutcomeNames{{
        {Outcome::Done, "done"},
        {Outcome::NotRun, "not_run"},
        {Outcome::Unknown, "unknown"},
}};

/// Reason why a request was refused or its outcome is unknown.
enum class CallerError {
    None,
    NotFound,
    MalformedBody,
    BodyTooLarge,
    UnknownProfile,
    UnknownGroup,
    DeadlineOver,
    RequestIdRequired,
    RequestIdInvalid,
    ShuttingDown,
    Quarantined,
    Overloaded,
    NoOwner,
    SnapshotUnavailable,
    StaleView,
    HomeLost,
    EpochExpired,
    ConnectionLost,
    DeadlineExceeded,
    Incomplete,
};

/// Name, HTTP status and outcome of a caller error.
struct CallerErrorInfo
{
    CallerError error;
    std::string_view name;
    int httpStatus;
    Outcome outcome;
};

inline constexpr std::array<CallerErrorInfo, 19> CallerErrorTable{{
        {CallerError::NotFound, "not_found", 404, Outcome::NotRun},
        {CallerError::MalformedBody, "malformed_body", 400, Outcome::NotRun},
        {CallerError::BodyTooLarge, "body_too_large", 413, Outcome::NotRun},
        {CallerError::UnknownProfile, "unknown_profile", 404, Outcome::NotRun},
        {CallerError::UnknownGroup, "unknown_group", 404, Outcome::NotRun},
        {CallerError::DeadlineOver, "deadline_over", 408, Outcome::NotRun},
        {CallerError::RequestIdRequired, "request_id_required", 400, Outcome::NotRun},
        {CallerError::RequestIdInvalid, "request_id_invalid", 400, Outcome::NotRun},
        {CallerError::ShuttingDown, "shutting_down", 503, Outcome::NotRun},
        {CallerError::Quarantined, "quarantined", 422, Outcome::NotRun},
        {CallerError::Overloaded, "overloaded", 503, Outcome::NotRun},
        {CallerError::NoOwner, "no_owner", 503, Outcome::NotRun},
        {CallerError::SnapshotUnavailable, "snapshot_unavailable", 503, Outcome::NotRun},
        {CallerError::StaleView, "stale_view", 503, Outcome::NotRun},
        {CallerError::HomeLost, "home_lost", 502, Outcome::Unknown},
        {CallerError::EpochExpired, "epoch_expired", 504, Outcome::Unknown},
        {CallerError::ConnectionLost, "connection_lost", 502, Outcome::Unknown},
        {CallerError::DeadlineExceeded, "deadline_exceeded", 504, Outcome::Unknown},
        {CallerError::Incomplete, "incomplete", 504, Outcome::Unknown},
}};

/// @return the name of @p error in CallerErrorTable, or "none" if it has no row.
constexpr std::string_view callerErrorName(CallerError error)
{
    for (const auto &row : CallerErrorTable) {
        if (row.error == error)
            return row.name;
    }
    return "none";
}

/// Response to GET /v1/locate.
struct LocateResponse
{
    /// IP:port of the entry to use.
    std::string address;
    /// Time for which the caller may keep using the address.
    std::chrono::milliseconds validFor{0};
    /// Prefix of request ids: host, incarnation and epoch of that entry, separated by dots.
    std::string home;

    bool operator==(const LocateResponse &) const = default;
};

/// Body of POST /v1/query.
struct QueryRequest
{
    std::string profile;
    std::string caller;
    /// Query object as canonical JSON text (object members sorted by name).
    std::string query;
    std::optional<std::string> key;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::string> snapshotToken;
    std::optional<std::string> requestId;

    bool operator==(const QueryRequest &) const = default;
};

/// Part of the key space that the results in a response cover.
struct Coverage
{
    /// Covered fraction of the key space, 0 to 1.
    double fraction = 0;
    std::uint32_t shards = 0;
    std::uint32_t answered = 0;
    std::vector<std::string> missing;

    bool isComplete() const { return answered == shards; }
    bool operator==(const Coverage &) const = default;
};

/// Response to POST /v1/query for any outcome.
struct QueryResponse
{
    Outcome outcome = Outcome::NotRun;
    CallerError error = CallerError::None;
    std::string message;
    std::string requestId;
    /// Present if the outcome is Done or the coverage was too low.
    std::optional<std::uint64_t> snapshot;
    std::string snapshotToken;
    std::optional<Coverage> coverage;
    /// Result items as the text of a JSON array; empty unless the outcome is Done.
    std::string items;
    std::chrono::microseconds elapsed{0};
    /// Upstream executions started for the query.
    std::uint32_t executions = 0;
    /// Entry that the caller should use instead; present in some refusals.
    std::optional<LocateResponse> home;
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(const QueryResponse &) const = default;
};

} // namespace persimmon::protocol
