#pragma once

#include "state/scheduler_actions.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// One sub-request on its way through the scheduler of its service: what became of its attempts,
/// and where it may still go.
struct SubRequest
{
    struct Attempt
    {
        std::uint32_t number = 0;
        protocol::HostRecord upstream;
        TimePoint startedAt;
        bool cancelled = false;
    };

    SubWork work;
    TimePoint arrivedAt;
    bool replied = false;
    bool waiting = true;
    /// Whether an ended attempt may have executed.
    bool mayHaveExecuted = false;
    bool hedged = false;
    /// Whether an attempt reached an upstream.
    bool arrived = false;
    AttemptKind nextKind = AttemptKind::Primary;
    std::uint32_t executions = 0;
    std::uint32_t refusals = 0;
    protocol::SubError lastError = protocol::SubError::None;
    /// Failure of an upstream that is passed on if nothing better comes.
    std::shared_ptr<const protocol::ForwardedAnswer> failure;
    /// Upstreams that got an attempt.
    std::set<std::string> used;
    /// Those of them to which no byte was written; they do not count against the limit.
    std::set<std::string> unreached;
    std::vector<Attempt> attempts;

    /// Takes the end of an attempt at @p upstream that gave no final reply.
    /// @return whether the attempt may have executed.
    bool noteEnd(const std::string &upstream, AttemptResult &result);

    /// @return whether it has used as many upstreams as it may.
    bool hasUsedAll() const
    {
        return work.upstreamLimit > 0 && used.size() - unreached.size() >= work.upstreamLimit;
    }

    /// @return those of @p names that it may not use, since it has used as many as it may.
    std::set<std::string> excludedOf(const std::vector<std::string> &names) const;

    /// @return the reply that no attempt answered it.
    SubReply makeFailure(protocol::SubError error) const;
};

} // namespace persimmon::state
