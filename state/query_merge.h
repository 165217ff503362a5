#pragma once

#include "state/epoch_clock.h"
#include "state/query_planner.h"

#include <map>

namespace persimmon::state {

/// Times that determine when a query is answered.
struct MergeLimits
{
    /// From this time on the minimum coverage is enough to answer a repeatable query.
    TimePoint enoughAt{};
    TimePoint deadline{};
};

/// Action that the entry must perform after an event.
enum class MergeAction { Drop, Wait, Retry, Replan, Answer };

/// Action with its arguments.
struct MergeStep
{
    MergeAction action = MergeAction::Wait;
    /// Index into the plan's shards; only with Retry.
    std::size_t shard = 0;
    /// Dispatcher to send the shard to; only with Retry.
    std::string dispatcher;
};

/// A shard whose dispatcher has not responded within the hedge delay.
struct OverdueShard
{
    std::size_t shard = 0;
    /// Batch in which the shard was last sent.
    std::uint64_t batchId = 0;
    /// Whether the hedge of this request was due before and was postponed.
    bool postponed = false;
    /// Time at which the hedge was due.
    TimePoint dueAt{};
};

/// Merges the shard results of one query plan. Not thread-safe.
class QueryMerge
{
public:
    QueryMerge(QueryPlan plan, MergeLimits limits);

    /// Records that @p shard (an index into the plan's shards) was sent in batch @p batchId.
    /// @param hedgeAt time from which a shard without a result is overdue.
    void expect(std::uint64_t batchId, std::size_t shard, TimePoint hedgeAt = TimePoint::max());

    /// Handles one result. A result whose batch, shard and snapshot match no open request is
    /// dropped.
    MergeStep accept(const protocol::SubResult &result, TimePoint now);

    /// @return Answer if all shards are settled, enough results have arrived, or the deadline has
    ///         passed; otherwise Wait.
    MergeStep decide(TimePoint now) const;

    /// @return the time at which a hedge is due or the result of decide() can change without a
    ///         further shard result.
    TimePoint nextDecision(TimePoint now) const;

    /// Collects the shards of a repeatable query whose hedge is due. Each is returned once until
    /// expect() or postponeHedge() sets a new hedge time.
    std::vector<OverdueShard> takeOverdue(TimePoint now);

    /// Sets a new hedge time of a shard that could not be hedged yet.
    void postponeHedge(std::size_t shard, TimePoint hedgeAt);

    /// @return whether the shard can be sent to another dispatcher.
    bool hasNextDispatcher(std::size_t shard) const;

    /// Advances to the next dispatcher of the shard's ranking; hasNextDispatcher() must be true.
    /// @return the name of that dispatcher.
    const std::string &takeNextDispatcher(std::size_t shard);

    /// Removes the open requests for shards that another dispatcher has answered.
    /// @return the ids of these shards, by batch.
    std::map<std::uint64_t, std::vector<std::string>> takeSuperseded();

    /// @return the coverage of the key space by the results so far.
    protocol::Coverage coverage() const;

    /// @return the answer from the results so far, without request id and elapsed time.
    protocol::QueryResponse answer(TimePoint now) const;

    /// @return whether any part of the query may have run.
    bool mayHaveRun() const;

    /// @return the ids of the shards with open requests, by batch.
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
    bool closeRequest(const protocol::SubResult &result, std::size_t &shard);
    MergeStep onFailure(std::size_t shard, const protocol::SubResult &result, TimePoint now);
    void writeFailure(protocol::QueryResponse &answer, TimePoint now) const;
    std::string joinItems() const;

    QueryPlan plan_;
    MergeLimits limits_;
    std::vector<ShardState> states_;
    std::uint32_t executions_ = 0;
};

} // namespace persimmon::state
