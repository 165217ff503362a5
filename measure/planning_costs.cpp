#include "measure/cost.h"
#include "measure/fleet.h"
#include "measure/measurements.h"

namespace persimmon::measure {

namespace {

constexpr int Repeats = 10;

/// @return CPU time to plan one query over all shards, in microseconds.
double measurePlanningTime(const state::ClusterView &view)
{
    const state::QueryPlanner planner(view);
    protocol::QueryRequest request;
    request.profile = ProfileName;
    return minCpuTime(Repeats, [&] { planner.plan(request); });
}

} // namespace

std::vector<Series> measurePlanning()
{
    Series rank{"rank dispatchers of one service", "host", "us", {}};
    Series byHosts{"plan 87 shards, by entry hosts", "host", "us", {}};
    for (const std::size_t count : {300, 600, 1200, 2400, 4800}) {
        auto store = makeViewStore({count, 1000}, 0, TargetFanOut);
        const auto view = store.view();
        const auto size = static_cast<double>(count);
        std::size_t number = 0;
        rank.points.push_back({size, minCpuTime(100, [&] {
                                   state::rankDispatchers(*view, serviceName(number++ % 500));
                               })});
        byHosts.points.push_back({size, measurePlanningTime(*view)});
    }
    Series byShards{"plan with 2,400 entry hosts, by shards", "shard", "us", {}};
    for (const std::size_t shards : {10, 20, 40, 80, 160}) {
        auto store = makeViewStore({TargetFleet.entryHosts, 1000}, 0, shards);
        byShards.points.push_back(
                {static_cast<double>(shards), measurePlanningTime(*store.view())});
    }
    Series byUpstreams{"plan 87 shards, by upstreams", "upstream", "us", {}};
    for (const std::size_t upstreams : {12'500, 25'000, 50'000, 100'000}) {
        auto store = makeViewStore({TargetFleet.entryHosts, upstreams}, 0, TargetFanOut);
        byUpstreams.points.push_back(
                {static_cast<double>(upstreams), measurePlanningTime(*store.view())});
    }
    return {rank, byHosts, byShards, byUpstreams};
}

} // namespace persimmon::measure
