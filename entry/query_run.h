#pragma once

#include "entry/query_executor.h"
#include "entry/result_queue.h"

#include <optional>

namespace persimmon::entry {

/// State of the canary: a shard that is sent first while the other shards are held back.
struct QueryCanary
{
    /// Index of the current canary shard in the plan.
    std::size_t shard = 0;
    /// When the other shards are sent without an answer of the canary, unless it was lost.
    state::TimePoint holdUntil;
    /// Whether an execution of the canary ended without an answer.
    bool lost = false;
    /// All shards that have been sent as the canary.
    std::set<std::size_t> sent;
    /// Whether the other shards have been sent.
    bool released = false;
};

/// Executes one query of the managed policy, from planning to the answer. Runs on one strand.
class QueryRun : public std::enable_shared_from_this<QueryRun>
{
public:
    QueryRun(std::shared_ptr<QueryExecutorContext> context, boost::asio::any_io_executor strand,
             protocol::QueryRequest request, state::TimePoint arrival,
             LateAnswerHandler onLateAnswer);

    /// @return the answer, whatever its outcome.
    boost::asio::awaitable<protocol::QueryResponse> run();

private:
    struct SentBatch
    {
        std::shared_ptr<DispatcherLink> link;
        state::TimePoint sentAt{};
    };

    using PlanResult = Result<state::QueryPlan, state::PlanError>;

    boost::asio::awaitable<PlanResult> makeFirstPlan();
    void sendPlan();
    void releaseHeldShards();
    void sendCanary(std::size_t shard);
    void onCanaryFailure(const protocol::SubResult &result, state::MergeAction action);
    void resend(const state::MergeStep &step);
    boost::asio::awaitable<void> collectResults();
    state::MergeStep processResults();
    state::MergeStep processResult(const protocol::SubResult &result);
    bool replan();
    void setPlan(state::QueryPlan plan);
    void sendShards(const std::string &dispatcher, const std::vector<std::size_t> &shards,
                    bool canary);
    void sendAllExcept(const std::set<std::size_t> &sent);
    void hedgeOverdueShards();
    bool mayHedge() const;
    std::shared_ptr<DispatcherLink> linkTo(const std::string &dispatcher) const;
    void cancel(std::map<std::uint64_t, std::vector<std::string>> shardsByBatch);
    void onResult(const protocol::SubResult &result);
    void onLateResult(const protocol::SubResult &result);
    protocol::QueryResponse makeAnswer();
    state::TimePoint now() const { return context_->runtime.clock().now(); }

    const std::shared_ptr<QueryExecutorContext> context_;
    const boost::asio::any_io_executor strand_;
    const protocol::QueryRequest request_;
    const state::TimePoint arrival_;
    const LateAnswerHandler onLateAnswer_;
    EntryHooks::View view_;
    std::optional<state::QueryMerge> merge_;
    std::optional<QueryCanary> canary_;
    ResultQueue resultQueue_;
    std::map<std::uint64_t, SentBatch> sentBatches_;
    std::set<std::uint64_t> triedSnapshots_;
    std::string requestId_;
    std::uint64_t fingerprint_ = 0;
    state::TimePoint deadline_{};
    std::uint32_t previousExecutions_ = 0;
    bool previousPlanMayHaveRun_ = false;
    bool needsReplan_ = false;
    bool finished_ = false;
};

} // namespace persimmon::entry
