#pragma once

#include "entry/dispatcher_links.h"
#include "entry/entry_hooks.h"

namespace persimmon::entry {

/// Settings of the managed policy.
struct ExecutorOptions
{
    std::string host;
    std::uint64_t incarnation = 0;
    bool canary = true;
    std::uint16_t dispatchPort = protocol::DispatchPort;
};

/// Counts of the managed policy.
struct ExecutorMetrics
{
    explicit ExecutorMetrics(transport::Metrics &metrics);

    transport::Counter &mismatched;
    transport::Counter &canaryHolds;
    transport::Counter &replans;
    transport::Counter &hedges;
    transport::Counter &demotions;
};

/// What all running queries share.
struct ExecutorContext
{
    transport::Runtime &runtime;
    EntryHooks hooks;
    DispatcherLinks &links;
    ExecutorOptions options;
    ExecutorMetrics metrics;
    state::CanaryGate gate;
    state::ProfileBudgets budgets;
    std::atomic<std::uint64_t> lastQuery = 0;
};

/// Runs queries through the owning dispatchers. Callable from any thread.
class QueryExecutor
{
public:
    /// @param links must outlive the executor and its running queries, as must @p runtime.
    QueryExecutor(transport::Runtime &runtime, transport::Metrics &metrics, DispatcherLinks &links,
                  EntryHooks hooks, ExecutorOptions options);

    /// Runs one query on the calling strand.
    /// @param arrival time at which the entry got the request.
    /// @param onLate gets a done answer of a non-repeatable request that arrives too late; may be
    ///        empty. Runs on the strand of the query.
    /// @return the answer, whatever its outcome.
    boost::asio::awaitable<protocol::QueryAnswer>
    execute(protocol::QueryRequest request, state::TimePoint arrival, LateHandler onLate);

private:
    std::shared_ptr<ExecutorContext> context_;
};

/// @return the refusal of a query that cannot be planned.
protocol::QueryAnswer makePlanRefusal(const state::PlanError &error);

/// @return time that a query has: the profile's deadline, or the caller's when it is shorter.
std::chrono::milliseconds timeLimit(const protocol::Profile &profile,
                                    const protocol::QueryRequest &request);

} // namespace persimmon::entry
