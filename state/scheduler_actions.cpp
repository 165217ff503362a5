#include "state/scheduler_actions.h"

namespace persimmon::state {

bool mayHaveExecuted(const AttemptResult &result)
{
    switch (result.end) {
    case AttemptEnd::Answered:
    case AttemptEnd::Lost:
    case AttemptEnd::Dropped:
    case AttemptEnd::Oversized:
    case AttemptEnd::Failed:
    case AttemptEnd::ErrorAnswer:
        return true;
    case AttemptEnd::TimedOut:
    case AttemptEnd::Cancelled:
        return result.written;
    default:
        return false;
    }
}

} // namespace persimmon::state
