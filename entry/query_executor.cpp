#include "entry/query_executor.h"

#include "entry/query_run.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::CallerError;

QueryExecutorMetrics::QueryExecutorMetrics(transport::Metrics &metrics)
    : mismatched(metrics.counter("persimmon_entry_mismatched_results_total",
                                 "Results dropped because of another batch, shard or snapshot.")),
      canaryHolds(metrics.counter("persimmon_entry_canary_holds_total",
                                  "Queries whose other shards were held back for a canary.")),
      replans(metrics.counter("persimmon_entry_replans_total",
                              "Queries replanned on another snapshot.")),
      hedges(metrics.counter("persimmon_entry_hedges_total",
                             "Shards sent to a second dispatcher because the first was slow.")),
      demotions(metrics.counter(
              "persimmon_entry_demotions_total",
              "Dispatchers demoted in the plan of a query because of a suspect link."))
{
}

QueryExecutor::QueryExecutor(transport::Runtime &runtime, transport::Metrics &metrics,
                             DispatcherLinkPool &links, EntryHooks hooks,
                             QueryExecutorOptions options)
    : context_(new QueryExecutorContext{runtime, std::move(hooks), links, std::move(options),
                                        QueryExecutorMetrics(metrics),
                                        state::ProvenFingerprintCache(), state::ProfileBudgets()})
{
}

asio::awaitable<protocol::QueryResponse> QueryExecutor::execute(protocol::QueryRequest request,
                                                                state::TimePoint arrival,
                                                                LateAnswerHandler onLateAnswer)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto run = std::make_shared<QueryRun>(context_, executor, std::move(request), arrival,
                                                std::move(onLateAnswer));
    co_return co_await run->run();
}

protocol::QueryResponse makePlanRefusal(const state::PlanError &error)
{
    switch (error.code) {
    case state::PlanErrorCode::UnknownProfile:
        return protocol::makeErrorResponse(CallerError::UnknownProfile, error.message);
    case state::PlanErrorCode::UnknownGroup:
        return protocol::makeErrorResponse(CallerError::UnknownGroup, error.message);
    case state::PlanErrorCode::SnapshotUnavailable:
        return protocol::makeErrorResponse(CallerError::SnapshotUnavailable, error.message);
    case state::PlanErrorCode::NoOwner:
        break;
    }
    return protocol::makeErrorResponse(CallerError::NoOwner, error.message);
}

std::chrono::milliseconds timeLimit(const protocol::Profile &profile,
                                    const protocol::QueryRequest &request)
{
    return std::min(profile.deadline, request.deadline.value_or(profile.deadline));
}

} // namespace persimmon::entry
