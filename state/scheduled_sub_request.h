#pragma once

#include "state/scheduler_actions.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// State of a sub-request in the ServiceScheduler: its attempts, their results, and the upstreams
/// that it may still use.
struct ScheduledSubRequest
{
    struct Attempt
    {
        std::uint32_t number = 0;
        protocol::HostRecord upstream;
        TimePoint startedAt;
        bool cancelled = false;
    };

    SubRequestSpec work;
    TimePoint queuedAt;
    bool replied = false;
    /// Whether it is in the queue.
    bool queued = true;
    /// Whether a finished attempt may have executed.
    bool mayHaveExecuted = false;
    bool hedged = false;
    /// Whether an attempt reached an upstream.
    bool reachedUpstream = false;
    AttemptKind nextKind = AttemptKind::Primary;
    std::uint32_t executions = 0;
    std::uint32_t unexecutedRetries = 0;
    protocol::SubError lastError = protocol::SubError::None;
    /// Error answer of an upstream, forwarded if no later attempt succeeds.
    std::shared_ptr<const protocol::ForwardedResponse> upstreamFailure;
    /// Upstreams that an attempt was started on.
    std::set<std::string> attempted;
    /// Subset of them to which no byte was written; these do not count against the limit.
    std::set<std::string> unreached;
    std::vector<Attempt> attempts;

    /// Records the end of an attempt at @p upstream that produced no final reply.
    /// @return whether the attempt may have executed.
    bool recordAttemptEnd(const std::string &upstream, AttemptResult &result);

    /// @return whether the maximum number of upstreams has been used.
    bool hasReachedUpstreamLimit() const
    {
        return work.upstreamLimit > 0 && attempted.size() - unreached.size() >= work.upstreamLimit;
    }

    /// @return those of @p names that are excluded because the maximum number of upstreams has been
    ///         used.
    std::set<std::string> exclusionsFrom(const std::vector<std::string> &names) const;

    /// @return the reply for a sub-request without a successful attempt.
    SubReply makeFailure(protocol::SubError error) const;
};

} // namespace persimmon::state
