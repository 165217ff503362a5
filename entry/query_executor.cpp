#include "entry/query_executor.h"

#include "entry/query_run.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::CallerError;

ExecutorMetrics::ExecutorMetrics(transport::Metrics &metrics)
    : mismatched(metrics.counter("persimmon_entry_mismatched_results_total",
                                 "Results dropped because batch, shard or snapshot differ.")),
      canaryHolds(metrics.counter("persimmon_entry_canary_holds_total",
                                  "Queries whose other shards waited for a canary.")),
      replans(metrics.counter("persimmon_entry_replans_total",
                              "Queries planned again on another snapshot.")),
      hedges(metrics.counter("persimmon_entry_hedges_total",
                             "Shards sent to a second dispatcher because the first was late.")),
      demotions(metrics.counter("persimmon_entry_demotions_total",
                                "Dispatchers passed over by a query because of a suspect link."))
{
}

QueryExecutor::QueryExecutor(transport::Runtime &runtime, transport::Metrics &metrics,
                             DispatcherLinks &links, EntryHooks hooks, ExecutorOptions options)
    : context_(new ExecutorContext{runtime, std::move(hooks), links, std::move(options),
                                   ExecutorMetrics(metrics), state::CanaryGate(),
                                   state::ProfileBudgets()})
{
}

asio::awaitable<protocol::QueryAnswer>
QueryExecutor::execute(protocol::QueryRequest request, state::TimePoint arrival, LateHandler onLate)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto run = std::make_shared<QueryRun>(context_, executor, std::move(request), arrival,
                                                std::move(onLate));
    co_return co_await run->run();
}

protocol::QueryAnswer makePlanRefusal(const state::PlanError &error)
{
    switch (error.code) {
    case state::PlanErrorCode::UnknownProfile:
        return protocol::makeRefusal(CallerError::UnknownProfile, error.message);
    case state::PlanErrorCode::UnknownGroup:
        return protocol::makeRefusal(CallerError::UnknownGroup, error.message);
    case state::PlanErrorCode::SnapshotUnavailable:
        return protocol::makeRefusal(CallerError::SnapshotUnavailable, error.message);
    case state::PlanErrorCode::NoOwner:
        break;
    }
    return protocol::makeRefusal(CallerError::NoOwner, error.message);
}

std::chrono::milliseconds timeLimit(const protocol::Profile &profile,
                                    const protocol::QueryRequest &request)
{
    return std::min(profile.deadline, request.deadline.value_or(profile.deadline));
}

} // namespace persimmon::entry
