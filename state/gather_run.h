#pragma once

#include "state/scheduler_actions.h"

#include <memory>
#include <optional>
#include <vector>

namespace persimmon::state {

/// Limits of one gathered request.
struct GatherPolicy
{
    std::size_t shards = 0;
    double leastFraction = 0;
    /// When an answer must leave to arrive while it has its full value.
    TimePoint answerBy;
    TimePoint deadline;
};

enum class GatherVerdict {
    Waiting,
    Complete,
    /// Some shards are left out, but no fewer are in than the least fraction asks for.
    Partial,
    /// The least fraction cannot be reached, and no shard executed anything.
    Refused,
    /// The least fraction cannot be reached, and some shards may have executed.
    Failed,
};

inline constexpr std::array<EnumName<GatherVerdict>, 5> GatherVerdictNames{{
        {GatherVerdict::Waiting, "waiting"},
        {GatherVerdict::Complete, "complete"},
        {GatherVerdict::Partial, "partial"},
        {GatherVerdict::Refused, "refused"},
        {GatherVerdict::Failed, "failed"},
}};

/// @return the fewest of @p shards that make up @p leastFraction, at least 1.
std::size_t leastShards(std::size_t shards, double leastFraction);

/// Decides when a request over many shards is answered and with which parts. Answers the load in
/// which a few shards pause or are slow: their parts are worth less than the time that all others
/// would wait for them.
class GatherRun
{
public:
    using Part = std::shared_ptr<const protocol::ForwardedAnswer>;

    explicit GatherRun(const GatherPolicy &policy);

    /// Takes the reply of the shard @p index.
    void onReply(std::size_t index, const SubReply &reply, TimePoint now);

    /// Takes the time; see nextDue().
    void onTime(TimePoint now);

    GatherVerdict verdict() const { return verdict_; }

    /// @return when onTime() must be called while the verdict is Waiting.
    TimePoint nextDue() const;

    /// @return the parts that are in, by shard; null for the others.
    const std::vector<Part> &parts() const { return parts_; }
    std::size_t partCount() const { return partCount_; }

    /// @return why the shard @p index gave no part; nothing while it has not replied.
    std::optional<protocol::SubError> errorOf(std::size_t index) const { return errors_.at(index); }

private:
    void decide(TimePoint now);

    GatherPolicy policy_;
    std::size_t least_;
    std::vector<Part> parts_;
    std::vector<std::optional<protocol::SubError>> errors_;
    std::size_t partCount_ = 0;
    std::size_t failedCount_ = 0;
    bool mayHaveExecuted_ = false;
    bool answerDue_ = false;
    GatherVerdict verdict_ = GatherVerdict::Waiting;
};

} // namespace persimmon::state
