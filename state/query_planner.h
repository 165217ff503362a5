#pragma once

#include "state/cluster_view.h"

#include <functional>
#include <set>

namespace persimmon::state {

/// Why a query cannot be planned; nothing of it has run.
enum class PlanErrorCode { UnknownProfile, UnknownGroup, SnapshotUnavailable, NoOwner };

inline constexpr std::array<EnumName<PlanErrorCode>, 4> PlanErrorNames{{
        {PlanErrorCode::UnknownProfile, "unknown_profile"},
        {PlanErrorCode::UnknownGroup, "unknown_group"},
        {PlanErrorCode::SnapshotUnavailable, "snapshot_unavailable"},
        {PlanErrorCode::NoOwner, "no_owner"},
}};

struct PlanError
{
    PlanErrorCode code = PlanErrorCode::UnknownProfile;
    std::string message;
};

/// One shard of a plan with its dispatchers, the owner first.
struct PlannedShard
{
    protocol::Shard shard;
    std::vector<std::string> dispatchers;
};

/// Shards of one pinned snapshot that answer a query.
struct QueryPlan
{
    protocol::Profile profile;
    std::uint64_t snapshot = 0;
    std::uint64_t configRevision = 0;
    std::vector<PlannedShard> shards;

    /// @return indexes into shards by the name of the owning dispatcher.
    std::map<std::string, std::vector<std::size_t>> byOwner() const;
};

/// Moves the dispatchers of suspect links to the end of each shard's ranking, in their order.
/// @param isSuspect tells whether the link to a dispatcher is suspect.
/// @return the dispatchers that were first in a ranking and no longer are.
std::set<std::string> demoteSuspects(QueryPlan &plan,
                                     const std::function<bool(const std::string &)> &isSuspect);

/// Pins snapshots and selects shards on one view, which must outlive the planner.
class QueryPlanner
{
public:
    explicit QueryPlanner(const ClusterView &view) : view_(view) {}

    /// @param request the caller's request; its token sets the oldest snapshot allowed.
    /// @param tried snapshots that replicas turned out not to hold.
    Result<QueryPlan, PlanError> plan(const protocol::QueryRequest &request,
                                      const std::set<std::uint64_t> &tried = {}) const;

private:
    const ClusterView &view_;
};

} // namespace persimmon::state
