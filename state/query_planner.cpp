#include "state/query_planner.h"

#include "state/ownership.h"
#include "state/snapshot_token.h"

#include <algorithm>

namespace persimmon::state {

using protocol::QueryRequest;
using protocol::SnapshotMap;

namespace {

const SnapshotMap *newestSnapshot(const protocol::GroupIndex &index, std::uint64_t minId,
                                  const std::set<std::uint64_t> &missing)
{
    for (auto it = index.snapshots.rbegin(); it != index.snapshots.rend(); ++it) {
        if (it->id >= minId && !missing.contains(it->id))
            return &*it;
    }
    return nullptr;
}

bool holdsKey(const protocol::Shard &shard, std::uint32_t position)
{
    return shard.from <= position && position < shard.to;
}

} // namespace

std::map<std::string, std::vector<std::size_t>> QueryPlan::byOwner() const
{
    std::map<std::string, std::vector<std::size_t>> owners;
    for (std::size_t i = 0; i < shards.size(); ++i)
        owners[shards[i].dispatchers.front()].push_back(i);
    return owners;
}

std::set<std::string> demoteSuspects(QueryPlan &plan,
                                     const std::function<bool(const std::string &)> &isSuspect)
{
    std::set<std::string> demoted;
    for (auto &shard : plan.shards) {
        auto &dispatchers = shard.dispatchers;
        const auto first = dispatchers.front();
        if (!isSuspect(first))
            continue;
        std::stable_partition(dispatchers.begin(), dispatchers.end(),
                              [&](const auto &name) { return !isSuspect(name); });
        if (dispatchers.front() != first)
            demoted.insert(first);
    }
    return demoted;
}

Result<QueryPlan, PlanError> QueryPlanner::plan(const QueryRequest &request,
                                                const std::set<std::uint64_t> &missing) const
{
    const auto profile = view_.profiles.find(request.profile);
    if (profile == view_.profiles.end())
        return PlanError{PlanErrorCode::UnknownProfile, "unknown profile " + request.profile};
    const auto &group = profile->second.group;
    const auto index = view_.indexes.find(group);
    if (index == view_.indexes.end())
        return PlanError{PlanErrorCode::UnknownGroup, "no index for group " + group};
    std::optional<std::uint64_t> minId = 0;
    if (request.snapshotToken)
        minId = parseSnapshotToken(*request.snapshotToken, group);
    if (!minId)
        return PlanError{PlanErrorCode::SnapshotUnavailable,
                         "snapshot token is not valid for group " + group};
    const auto *snapshot = newestSnapshot(index->second, *minId, missing);
    if (snapshot == nullptr)
        return PlanError{PlanErrorCode::SnapshotUnavailable,
                         "no usable snapshot of group " + group};
    QueryPlan plan{profile->second, snapshot->id, view_.configRevision, {}};
    const bool keyed = plan.profile.scope == protocol::Scope::Key;
    const auto position = keyed ? protocol::keyPosition(request.key.value_or("")) : 0;
    const DispatcherRanking ranking(view_);
    for (const auto &shard : snapshot->shards) {
        if (keyed && !holdsKey(shard, position))
            continue;
        auto dispatchers = ranking.first(shard.service, MaxDispatchersPerShard);
        if (dispatchers.empty())
            return PlanError{PlanErrorCode::NoOwner, "no dispatcher for " + shard.service};
        plan.shards.push_back({shard, std::move(dispatchers)});
    }
    return plan;
}

} // namespace persimmon::state
