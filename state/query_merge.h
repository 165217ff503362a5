#pragma once

#include "state/epoch_clock.h"
#include "state/query_planner.h"

#include <map>

namespace persimmon::state {

/// Dispatchers that one shard is sent to at most, one after the other.
inline constexpr std::size_t MaxDispatchersPerShard = 3;

/// When a query is answered.
struct MergeLimits
{
    TimePoint enoughAt{};
    TimePoint deadline{};
};

/// What the entry must do after an event.
enum class MergeAction { Drop, Wait, Retry, Replan, Answer };

struct MergeStep
{
    MergeAction action = MergeAction::Wait;
    /// Index into the plan's shards; only with Retry.
    std::size_t shard = 0;
    /// Dispatcher to send the shard to; only with Retry.
    std::string dispatcher;
};

/// A shard that its dispatcher has not answered within the hedge delay.
struct OverdueShard
{
    std::size_t shard = 0;
    /// Batch that was sent last.
    std::uint64_t batchId = 0;
    /// Whether this ask was overdue before and its hedge was postponed.
    bool postponed = false;
};

/// Collects the results of one query on one plan. Not thread-safe.
class QueryMerge
{
public:
    QueryMerge(QueryPlan plan, MergeLimits limits);

    /// Records that @p shard (an index into the plan's shards) was sent in batch @p batchId.
    /// @param hedgeAt time from which a shard without an answer is overdue.
    void expect(std::uint64_t batchId, std::size_t shard, TimePoint hedgeAt = TimePoint::max());

    /// Takes one result; it counts only when batch, shard and snapshot match what was asked.
    MergeStep accept(const protocol::SubResult &result, TimePoint now);

    /// @return Answer when all shards are settled, enough has arrived, or the deadline is over.
    MergeStep decide(TimePoint now) const;

    /// @return time at which decide() can change without a further result.
    TimePoint nextDecision(TimePoint now) const;

    /// Takes the shards of a repeatable query whose hedge time has come. Each is returned once,
    /// until expect() or postponeHedge() sets a new hedge time.
    std::vector<OverdueShard> takeOverdue(TimePoint now);

    /// Sets a new hedge time of a shard that could not be hedged yet.
    void postponeHedge(std::size_t shard, TimePoint hedgeAt);

    /// @return whether a further dispatcher may get the shard.
    bool hasNextDispatcher(std::size_t shard) const;

    /// @return the next dispatcher of the shard's ranking; hasNextDispatcher() must hold.
    const std::string &takeNextDispatcher(std::size_t shard);

    /// Takes the open asks of shards that another dispatcher has answered, by batch. They no longer
    /// belong to the query.
    std::map<std::uint64_t, std::vector<std::string>> takeSuperseded();

    /// @return share of the key space that has arrived, 0 to 1.
    protocol::Coverage coverage() const;

    /// @return the answer from what has arrived; request id and elapsed time are left empty.
    protocol::QueryAnswer answer(TimePoint now) const;

    /// @return whether something of the query may have run.
    bool mayHaveRun() const;

    /// @return shards that are still open, by batch.
    std::map<std::uint64_t, std::vector<std::string>> open() const;

    const QueryPlan &plan() const { return plan_; }

private:
    struct ShardState
    {
        std::vector<std::uint64_t> openBatches;
        std::size_t nextDispatcher = 1;
        TimePoint hedgeAt = TimePoint::max();
        bool postponed = false;
        bool sent = false;
        bool answered = false;
        bool settled = false;
        bool mayHaveRun = false;
        protocol::SubError error = protocol::SubError::None;
        std::string items;
    };

    bool isAwaited(const ShardState &state) const;
    bool hasEnough() const;
    bool closeAsk(const protocol::SubResult &result, std::size_t &shard);
    MergeStep onFailure(std::size_t shard, const protocol::SubResult &result, TimePoint now);
    void fail(protocol::QueryAnswer &answer, TimePoint now) const;
    std::string joinItems() const;

    QueryPlan plan_;
    MergeLimits limits_;
    std::vector<ShardState> states_;
    std::uint32_t executions_ = 0;
};

} // namespace persimmon::state
