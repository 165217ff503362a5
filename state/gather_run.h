#pragma once

#include "state/scheduler_actions.h"

#include <memory>
#include <optional>
#include <vector>

namespace persimmon::state {

/// Limits of one scatter-gather request.
struct GatherPolicy
{
    std::size_t shards = 0;
    /// Minimum fraction of the shards that must answer, 0 to 1.
    double minFraction = 0;
    /// Latest time to send an answer that meets the latency objective.
    TimePoint softDeadline;
    TimePoint deadline;
};

enum class GatherOutcome {
    Waiting,
    Complete,
    /// Some shards are missing, but the minimum fraction is reached.
    Partial,
    /// The minimum fraction cannot be reached, and no shard executed anything.
    Refused,
    /// The minimum fraction cannot be reached, and some shards may have executed.
    Failed,
};

inline constexpr std::array<EnumName<GatherOutcome>, 5> GatherOutcomeNames{{
        {GatherOutcome::Waiting, "waiting"},
        {GatherOutcome::Complete, "complete"},
        {GatherOutcome::Partial, "partial"},
        {GatherOutcome::Refused, "refused"},
        {GatherOutcome::Failed, "failed"},
}};

/// @return the minimum number of @p shards that make up @p minFraction, at least 1.
std::size_t minShardCount(std::size_t shards, double minFraction);

/// Collects the replies of the shards of one request and decides when it is answered and with which
/// parts. Leaves out a few paused or slow shards rather than delay the answer for them.
class GatherRun
{
public:
    using Part = std::shared_ptr<const protocol::ForwardedResponse>;

    explicit GatherRun(const GatherPolicy &policy);

    /// Records the reply of the shard @p index.
    void onReply(std::size_t index, const SubReply &reply, TimePoint now);

    /// Handles a timeout; see nextTimeout().
    void onTimer(TimePoint now);

    /// Shortens the time for the request to @p end.
    void endBy(TimePoint end);

    GatherOutcome outcome() const { return outcome_; }

    /// @return the time at which onTimer() must be called while the outcome is Waiting.
    TimePoint nextTimeout() const;

    /// @return the received parts by shard; null for the others.
    const std::vector<Part> &parts() const { return parts_; }
    std::size_t partCount() const { return partCount_; }

    /// @return the error of the shard @p index; std::nullopt if it has not replied or has
    /// succeeded.
    std::optional<protocol::SubError> errorOf(std::size_t index) const { return errors_.at(index); }

private:
    void decide(TimePoint now);

    GatherPolicy policy_;
    std::size_t minParts_;
    std::vector<Part> parts_;
    std::vector<std::optional<protocol::SubError>> errors_;
    std::size_t partCount_ = 0;
    std::size_t failedCount_ = 0;
    bool mayHaveExecuted_ = false;
    bool softDeadlinePassed_ = false;
    GatherOutcome outcome_ = GatherOutcome::Waiting;
};

} // namespace persimmon::state
