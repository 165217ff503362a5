#include "state/gather_run.h"

#include <algorithm>
#include <cmath>

namespace persimmon::state {

namespace {

/// Prevents rounding errors from requiring 18 shards for 0.85 of 20.
constexpr double FractionTolerance = 1e-9;

} // namespace

std::size_t minShardCount(std::size_t shards, double minFraction)
{
    const auto exact = std::ceil(static_cast<double>(shards) * minFraction - FractionTolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(exact, 0.0)));
}

GatherRun::GatherRun(const GatherPolicy &policy)
    : policy_(policy),
      minParts_(minShardCount(policy.shards, policy.minFraction)),
      parts_(policy.shards),
      errors_(policy.shards)
{
}

void GatherRun::onReply(std::size_t index, const SubReply &reply, TimePoint now)
{
    if (outcome_ != GatherOutcome::Waiting)
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

void GatherRun::onTimer(TimePoint now)
{
    if (outcome_ != GatherOutcome::Waiting)
        return;
    decide(now);
}

void GatherRun::endBy(TimePoint end)
{
    policy_.softDeadline = std::min(policy_.softDeadline, end);
    policy_.deadline = std::min(policy_.deadline, end);
}

void GatherRun::decide(TimePoint now)
{
    softDeadlinePassed_ = softDeadlinePassed_ || now >= policy_.softDeadline;
    const bool allReplied = partCount_ + failedCount_ == policy_.shards;
    if (partCount_ == policy_.shards) {
        outcome_ = GatherOutcome::Complete;
    } else if (partCount_ >= minParts_ && (allReplied || softDeadlinePassed_)) {
        outcome_ = GatherOutcome::Partial;
    } else if (policy_.shards - failedCount_ < minParts_) {
        outcome_ = mayHaveExecuted_ ? GatherOutcome::Failed : GatherOutcome::Refused;
    } else if (now >= policy_.deadline) {
        // Shards without a reply may have executed the request.
        outcome_ = GatherOutcome::Failed;
    }
}

TimePoint GatherRun::nextTimeout() const
{
    return softDeadlinePassed_ ? policy_.deadline
                               : std::min(policy_.softDeadline, policy_.deadline);
}

} // namespace persimmon::state
