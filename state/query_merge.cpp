#include "state/query_merge.h"

#include "state/snapshot_token.h"

#include <algorithm>
#include <utility>

namespace persimmon::state {

using protocol::CallerError;
using protocol::Outcome;
using protocol::SubError;
using protocol::SubOutcome;
using protocol::SubResult;

namespace {

/// @return whether another dispatcher may succeed after this error.
bool isRetryable(SubError error)
{
    return error == SubError::ConnectionLost || error == SubError::ShuttingDown
           || error == SubError::StaleView || error == SubError::NoUpstream;
}

CallerError refusalOf(SubError error)
{
    switch (error) {
    case SubError::Overloaded:
        return CallerError::Overloaded;
    case SubError::SnapshotMissing:
        return CallerError::SnapshotUnavailable;
    case SubError::Quarantined:
        return CallerError::Quarantined;
    case SubError::ShuttingDown:
        return CallerError::ShuttingDown;
    case SubError::StaleView:
        return CallerError::StaleView;
    case SubError::DeadlineOver:
    case SubError::DeadlineExceeded:
        return CallerError::DeadlineOver;
    default:
        return CallerError::NoOwner;
    }
}

} // namespace

QueryMerge::QueryMerge(QueryPlan plan, MergeLimits limits)
    : plan_(std::move(plan)),
      limits_(limits),
      states_(plan_.shards.size())
{
}

void QueryMerge::expect(std::uint64_t batchId, std::size_t shard, TimePoint hedgeAt)
{
    auto &state = states_[shard];
    state.sent = true;
    state.settled = false;
    // An error of an earlier dispatcher does not apply to the new one.
    state.error = SubError::None;
    state.openBatches.push_back(batchId);
    state.hedgeAt = hedgeAt;
    state.postponed = false;
}

bool QueryMerge::closeRequest(const SubResult &result, std::size_t &shard)
{
    if (result.snapshot != plan_.snapshot)
        return false;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        if (plan_.shards[i].shard.id != result.shard)
            continue;
        shard = i;
        return std::erase(states_[i].openBatches, result.batchId) > 0;
    }
    return false;
}

MergeStep QueryMerge::accept(const SubResult &result, TimePoint now)
{
    std::size_t shard = 0;
    if (!closeRequest(result, shard))
        return {MergeAction::Drop, 0, {}};
    auto &state = states_[shard];
    executions_ += result.executions;
    if (state.answered)
        return {MergeAction::Drop, 0, {}};
    if (result.outcome != SubOutcome::Done)
        return onFailure(shard, result, now);
    state.answered = true;
    state.settled = true;
    state.mayHaveRun = true;
    state.items = result.items;
    return decide(now);
}

MergeStep QueryMerge::onFailure(std::size_t shard, const SubResult &result, TimePoint now)
{
    auto &state = states_[shard];
    state.error = result.error;
    state.mayHaveRun = state.mayHaveRun || result.outcome == SubOutcome::Unknown;
    if (!state.openBatches.empty())
        return decide(now);
    const bool mayRepeat = plan_.profile.repeatable || !state.mayHaveRun;
    if (result.error == SubError::SnapshotMissing && mayRepeat && now < limits_.deadline) {
        state.settled = true;
        return {MergeAction::Replan, 0, {}};
    }
    if (isRetryable(result.error) && mayRepeat && now < limits_.deadline
        && hasNextDispatcher(shard))
        return {MergeAction::Retry, shard, takeNextDispatcher(shard)};
    state.settled = true;
    return decide(now);
}

bool QueryMerge::isAwaited(const ShardState &state) const
{
    return plan_.profile.repeatable && !state.answered && !state.openBatches.empty();
}

std::vector<OverdueShard> QueryMerge::takeOverdue(TimePoint now)
{
    std::vector<OverdueShard> overdue;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        auto &state = states_[i];
        if (!isAwaited(state) || now < state.hedgeAt)
            continue;
        const auto dueAt = std::exchange(state.hedgeAt, TimePoint::max());
        overdue.push_back({i, state.openBatches.back(), state.postponed, dueAt});
    }
    return overdue;
}

void QueryMerge::postponeHedge(std::size_t shard, TimePoint hedgeAt)
{
    states_[shard].hedgeAt = hedgeAt;
    states_[shard].postponed = true;
}

bool QueryMerge::hasNextDispatcher(std::size_t shard) const
{
    const auto ranked = plan_.shards[shard].dispatchers.size();
    return states_[shard].nextDispatcher < std::min(ranked, MaxDispatchersPerShard);
}

const std::string &QueryMerge::takeNextDispatcher(std::size_t shard)
{
    return plan_.shards[shard].dispatchers[states_[shard].nextDispatcher++];
}

std::map<std::uint64_t, std::vector<std::string>> QueryMerge::takeSuperseded()
{
    std::map<std::uint64_t, std::vector<std::string>> superseded;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        auto &state = states_[i];
        if (!state.answered)
            continue;
        for (const auto batch : state.openBatches)
            superseded[batch].push_back(plan_.shards[i].shard.id);
        state.openBatches.clear();
    }
    return superseded;
}

bool QueryMerge::hasEnough() const
{
    return coverage().fraction >= plan_.profile.minCoverage;
}

MergeStep QueryMerge::decide(TimePoint now) const
{
    const bool settled = std::all_of(states_.begin(), states_.end(),
                                     [](const auto &state) { return state.settled; });
    const bool enough = now >= limits_.enoughAt && plan_.profile.repeatable && hasEnough();
    const bool ready = settled || enough || now >= limits_.deadline;
    return {ready ? MergeAction::Answer : MergeAction::Wait, 0, {}};
}

TimePoint QueryMerge::nextDecision(TimePoint now) const
{
    auto next = now < limits_.enoughAt ? std::min(limits_.enoughAt, limits_.deadline)
                                       : limits_.deadline;
    for (const auto &state : states_) {
        if (isAwaited(state))
            next = std::min(next, state.hedgeAt);
    }
    return next;
}

protocol::Coverage QueryMerge::coverage() const
{
    protocol::Coverage coverage;
    coverage.shards = static_cast<std::uint32_t>(states_.size());
    std::uint64_t planned = 0;
    std::uint64_t covered = 0;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto &shard = plan_.shards[i].shard;
        planned += shard.to - shard.from;
        if (!states_[i].answered) {
            coverage.missing.push_back(shard.id);
            continue;
        }
        ++coverage.answered;
        covered += shard.to - shard.from;
    }
    // A lookup by key plans one shard only; its coverage is relative to that shard.
    if (planned > 0)
        coverage.fraction = static_cast<double>(covered) / static_cast<double>(planned);
    return coverage;
}

bool QueryMerge::mayHaveRun() const
{
    return std::any_of(states_.begin(), states_.end(), [](const auto &state) {
        return state.mayHaveRun || !state.openBatches.empty();
    });
}

std::map<std::uint64_t, std::vector<std::string>> QueryMerge::open() const
{
    std::map<std::uint64_t, std::vector<std::string>> batches;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        for (const auto batch : states_[i].openBatches)
            batches[batch].push_back(plan_.shards[i].shard.id);
    }
    return batches;
}

protocol::QueryResponse QueryMerge::answer(TimePoint now) const
{
    protocol::QueryResponse answer;
    answer.executions = executions_;
    auto reached = coverage();
    const bool keyed = plan_.profile.scope == protocol::Scope::Key;
    const bool refuse = plan_.profile.onLowCoverage == protocol::LowCoverage::Refuse;
    const bool low = reached.fraction < plan_.profile.minCoverage;
    if ((reached.answered == 0 && !mayHaveRun()) || (keyed && !reached.isComplete())
        || (low && refuse)) {
        answer.coverage = std::move(reached);
        writeFailure(answer, now);
        return answer;
    }
    answer.outcome = Outcome::Done;
    answer.snapshot = plan_.snapshot;
    answer.snapshotToken = formatSnapshotToken(plan_.profile.group, plan_.snapshot);
    answer.coverage = std::move(reached);
    answer.items = joinItems();
    return answer;
}

void QueryMerge::writeFailure(protocol::QueryResponse &answer, TimePoint now) const
{
    auto error = SubError::None;
    for (const auto &state : states_) {
        if (!state.answered && state.error != SubError::None)
            error = state.error;
    }
    if (!mayHaveRun()) {
        answer.outcome = Outcome::NotRun;
        const bool late = error == SubError::None || now >= limits_.deadline;
        answer.error = late ? CallerError::DeadlineOver : refusalOf(error);
        answer.message = "no shard has run";
        answer.coverage.reset();
        return;
    }
    answer.outcome = Outcome::Unknown;
    answer.message = "shards are missing";
    answer.error = CallerError::Incomplete;
    if (plan_.profile.repeatable)
        return;
    const bool lost = error == SubError::ConnectionLost;
    answer.error = lost ? CallerError::ConnectionLost : CallerError::DeadlineExceeded;
    answer.message = "the request may have run";
}

std::string QueryMerge::joinItems() const
{
    std::string joined = "[";
    for (const auto &state : states_) {
        const auto first = state.items.find('[');
        const auto last = state.items.rfind(']');
        if (!state.answered || first == std::string::npos || last == std::string::npos)
            continue;
        const auto inner = state.items.substr(first + 1, last - first - 1);
        if (inner.find_first_not_of(" \t\r\n") == std::string::npos)
            continue;
        if (joined.size() > 1)
            joined += ',';
        joined += inner;
    }
    return joined + "]";
}

} // namespace persimmon::state
