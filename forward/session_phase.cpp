#include "forward/session_phase.h"

namespace persimmon::forward {

namespace {

/// Connections stay open this much longer than the idle time that is announced to callers.
constexpr std::chrono::milliseconds IdleTimeoutMargin{1000};
/// The first request of a new connection is usually on its way.
constexpr std::chrono::milliseconds NewSessionDrainTime{500};

} // namespace

std::optional<transport::Duration>
sessionTimeLimit(SessionPhase phase, const state::CallerLimits &limits, bool listening)
{
    switch (phase) {
    case SessionPhase::New:
        return listening ? limits.idleTime + IdleTimeoutMargin : NewSessionDrainTime;
    case SessionPhase::Idle:
        return listening ? limits.idleTime + IdleTimeoutMargin : transport::Duration(0);
    case SessionPhase::ReadingHeader:
    case SessionPhase::Discarding:
        return limits.headerTime;
    case SessionPhase::ReadingBody:
    case SessionPhase::Sending:
        return limits.idleTime;
    case SessionPhase::Serving:
        break;
    }
    return std::nullopt;
}

} // namespace persimmon::forward
