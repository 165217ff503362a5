#include "state/gather_run.h"

#include <algorithm>
#include <cmath>

namespace persimmon::state {

namespace {

/// Keeps 0.85 of 20 from asking for 18 shards because of rounding.
constexpr double FractionTolerance = 1e-9;

} // namespace

std::size_t leastShards(std::size_t shards, double leastFraction)
{
    const auto exact = std::ceil(static_cast<double>(shards) * leastFraction - FractionTolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(exact, 0.0)));
}

GatherRun::GatherRun(const GatherPolicy &policy)
    : policy_(policy),
      least_(leastShards(policy.shards, policy.leastFraction)),
      parts_(policy.shards),
      errors_(policy.shards)
{
}

void GatherRun::onReply(std::size_t index, const SubReply &reply, TimePoint now)
{
    if (verdict_ != GatherVerdict::Waiting)
        return;
    if (reply.outcome == protocol::SubOutcome::Done && reply.answer) {
        parts_.at(index) = reply.answer;
        ++partCount_;
        mayHaveExecuted_ = true;
    } else {
        errors_.at(index) = reply.error;
        ++failedCount_;
        mayHaveExecuted_ = mayHaveExecuted_ || reply.outcome != protocol::SubOutcome::NotRun;
    }
    decide(now);
}

void GatherRun::onTime(TimePoint now)
{
    if (verdict_ != GatherVerdict::Waiting)
        return;
    decide(now);
}

void GatherRun::decide(TimePoint now)
{
    answerDue_ = answerDue_ || now >= policy_.answerBy;
    const bool allReplied = partCount_ + failedCount_ == policy_.shards;
    if (partCount_ == policy_.shards) {
        verdict_ = GatherVerdict::Complete;
    } else if (partCount_ >= least_ && (allReplied || answerDue_)) {
        verdict_ = GatherVerdict::Partial;
    } else if (policy_.shards - failedCount_ < least_) {
        verdict_ = mayHaveExecuted_ ? GatherVerdict::Failed : GatherVerdict::Refused;
    } else if (now >= policy_.deadline) {
        // Attempts without a reply may have executed.
        verdict_ = GatherVerdict::Failed;
    }
}

TimePoint GatherRun::nextDue() const
{
    return answerDue_ ? policy_.deadline : std::min(policy_.answerBy, policy_.deadline);
}

} // namespace persimmon::state
