#pragma once

#include "entry/dispatcher_link_pool.h"
#include "entry/entry_hooks.h"

namespace persimmon::entry {

/// Settings of a QueryExecutor.
struct QueryExecutorOptions
{
    /// Name of this host.
    std::string host;
    std::uint64_t incarnation = 0;
    /// Whether an unproven query is sent to one shard first.
    bool canary = true;
    std::uint16_t dispatchPort = protocol::DispatchPort;
};

/// Metrics of a QueryExecutor.
struct QueryExecutorMetrics
{
    explicit QueryExecutorMetrics(transport::Metrics &metrics);

    transport::Counter &mismatched;
    transport::Counter &canaryHolds;
    transport::Counter &replans;
    transport::Counter &hedges;
    transport::Counter &demotions;
};

/// State shared by all running queries.
struct QueryExecutorContext
{
    transport::Runtime &runtime;
    EntryHooks hooks;
    DispatcherLinkPool &links;
    QueryExecutorOptions options;
    QueryExecutorMetrics metrics;
    state::ProvenFingerprintCache provenFingerprints;
    state::ProfileBudgets budgets;
    std::atomic<std::uint64_t> lastQueryNumber = 0;
};

/// Executor of the "managed" policy: sends the shards of a query to the dispatchers that own them.
/// Callable from any thread.
class QueryExecutor
{
public:
    /// @param links must outlive the executor and its running queries, as must @p runtime.
    QueryExecutor(transport::Runtime &runtime, transport::Metrics &metrics,
                  DispatcherLinkPool &links, EntryHooks hooks, QueryExecutorOptions options);

    /// Executes one query on the calling strand.
    /// @param arrival time at which the entry received the request.
    /// @param onLateAnswer called on the strand of the query if a non-repeatable request completes
    ///        with the outcome "done" after execute() has returned; may be empty.
    /// @return the answer, whatever its outcome.
    boost::asio::awaitable<protocol::QueryResponse> execute(protocol::QueryRequest request,
                                                            state::TimePoint arrival,
                                                            LateAnswerHandler onLateAnswer);

private:
    std::shared_ptr<QueryExecutorContext> context_;
};

/// @return the refusal for a query that cannot be planned.
protocol::QueryResponse makePlanRefusal(const state::PlanError &error);

/// @return the time limit of a query: the shorter one of the profile's and the caller's deadline.
std::chrono::milliseconds timeLimit(const protocol::Profile &profile,
                                    const protocol::QueryRequest &request);

} // namespace persimmon::entry
