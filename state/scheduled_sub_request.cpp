#include "state/scheduled_sub_request.h"

namespace persimmon::state {

bool ScheduledSubRequest::recordAttemptEnd(const std::string &upstream, AttemptResult &result)
{
    const bool executed = state::mayHaveExecuted(result);
    const bool unsent = result.end == AttemptEnd::NotWritten || result.end == AttemptEnd::Withheld;
    if (unsent)
        unreached.insert(upstream);
    switch (result.end) {
    case AttemptEnd::SnapshotMissing:
        lastError = protocol::SubError::SnapshotMissing;
        break;
    case AttemptEnd::Shed:
        lastError = protocol::SubError::Overloaded;
        break;
    case AttemptEnd::TimedOut:
    case AttemptEnd::Cancelled:
        lastError = protocol::SubError::DeadlineExceeded;
        break;
    case AttemptEnd::Lost:
    case AttemptEnd::Dropped:
    case AttemptEnd::Oversized:
        lastError = protocol::SubError::ConnectionLost;
        break;
    case AttemptEnd::Failed:
        lastError = protocol::SubError::UpstreamFailed;
        upstreamFailure = std::move(result.answer);
        break;
    case AttemptEnd::Withheld:
        lastError = protocol::SubError::Quarantined;
        break;
    default:
        lastError = protocol::SubError::NoUpstream;
        break;
    }
    mayHaveExecuted = mayHaveExecuted || executed;
    reachedUpstream = reachedUpstream || !unsent;
    return executed;
}

std::set<std::string>
ScheduledSubRequest::exclusionsFrom(const std::vector<std::string> &names) const
{
    std::set<std::string> excluded;
    for (const auto &name : names) {
        const bool reached = attempted.contains(name) && !unreached.contains(name);
        if (hasReachedUpstreamLimit() && !reached)
            excluded.insert(name);
    }
    return excluded;
}

SubReply ScheduledSubRequest::makeFailure(protocol::SubError error) const
{
    SubReply reply;
    const bool unknown = mayHaveExecuted || !attempts.empty();
    reply.outcome = unknown ? protocol::SubOutcome::Unknown : protocol::SubOutcome::NotRun;
    reply.error = error;
    reply.answer = upstreamFailure;
    if (unknown && error == protocol::SubError::DeadlineOver)
        reply.error = protocol::SubError::DeadlineExceeded;
    return reply;
}

} // namespace persimmon::state
