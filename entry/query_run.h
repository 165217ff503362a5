#pragma once

#include "entry/query_executor.h"
#include "entry/result_inbox.h"

#include <optional>

namespace persimmon::entry {

/// The shard that is sent first while the other shards are held back.
struct QueryCanary
{
    std::size_t shard = 0;
    state::TimePoint holdUntil;
    /// Whether an execution ended without an answer.
    bool lost = false;
    /// The shards that have been the canary.
    std::set<std::size_t> sent;
    bool released = false;
};

/// One query of the managed policy from plan to answer. Runs on one strand.
class QueryRun : public std::enable_shared_from_this<QueryRun>
{
public:
    QueryRun(std::shared_ptr<ExecutorContext> context, boost::asio::any_io_executor strand,
             protocol::QueryRequest request, state::TimePoint arrival, LateHandler onLate);

    /// @return the answer, whatever its outcome.
    boost::asio::awaitable<protocol::QueryAnswer> run();

private:
    struct SentBatch
    {
        std::shared_ptr<DispatcherLink> link;
        state::TimePoint sentAt{};
    };

    using PlanResult = Result<state::QueryPlan, state::PlanError>;

    boost::asio::awaitable<PlanResult> makeFirstPlan();
    void sendPlan();
    void releaseHeld();
    void sendCanary(std::size_t shard);
    void noteCanary(const protocol::SubResult &result, state::MergeAction action);
    void resend(const state::MergeStep &step);
    boost::asio::awaitable<void> collect();
    state::MergeStep takeResults();
    state::MergeStep takeResult(const protocol::SubResult &result);
    bool replan();
    void adopt(state::QueryPlan plan);
    void sendShards(const std::string &dispatcher, const std::vector<std::size_t> &shards,
                    bool canary);
    void sendAllExcept(const std::set<std::size_t> &sent);
    void hedgeOverdue();
    bool mayHedge() const;
    std::shared_ptr<DispatcherLink> linkTo(const std::string &dispatcher) const;
    void cancel(std::map<std::uint64_t, std::vector<std::string>> asks);
    void onResult(const protocol::SubResult &result);
    void onLateResult(const protocol::SubResult &result);
    protocol::QueryAnswer makeAnswer();
    state::TimePoint now() const { return context_->runtime.clock().now(); }

    const std::shared_ptr<ExecutorContext> context_;
    const boost::asio::any_io_executor strand_;
    const protocol::QueryRequest request_;
    const state::TimePoint arrival_;
    const LateHandler onLate_;
    EntryHooks::View view_;
    std::optional<state::QueryMerge> merge_;
    std::optional<QueryCanary> canary_;
    ResultInbox inbox_;
    std::map<std::uint64_t, SentBatch> sent_;
    std::set<std::uint64_t> triedSnapshots_;
    std::string requestId_;
    std::uint64_t fingerprint_ = 0;
    state::TimePoint deadline_{};
    std::uint32_t earlierExecutions_ = 0;
    bool earlierMayHaveRun_ = false;
    bool replanNeeded_ = false;
    bool finished_ = false;
};

} // namespace persimmon::entry
