#pragma once

#include "state/routing_config.h"
#include "transport/transport.h"

#include <array>
#include <optional>

namespace persimmon::forward {

/// What a connection of a caller waits for.
enum class SessionPhase {
    /// The first byte of its first request.
    New,
    /// The first byte of a further request.
    Idle,
    /// The rest of a request header.
    ReadingHeader,
    /// More of a request body.
    ReadingBody,
    /// The handler.
    Serving,
    /// The caller, which has to read the response.
    Sending,
    /// The end of the input of a rejected request.
    Discarding,
};

inline constexpr std::array<EnumName<SessionPhase>, 7> SessionPhaseNames{{
        {SessionPhase::New, "new"},
        {SessionPhase::Idle, "idle"},
        {SessionPhase::ReadingHeader, "reading_header"},
        {SessionPhase::ReadingBody, "reading_body"},
        {SessionPhase::Serving, "serving"},
        {SessionPhase::Sending, "sending"},
        {SessionPhase::Discarding, "discarding"},
}};

/// @param listening false once a drain has closed the listener.
/// @return how long a session may stay in @p phase without progress; std::nullopt for no limit.
std::optional<transport::Duration>
sessionTimeLimit(SessionPhase phase, const state::CallerLimits &limits, bool listening);

} // namespace persimmon::forward
