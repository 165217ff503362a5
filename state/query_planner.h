#pragma once

#include "state/cluster_view.h"

#include <functional>
#include <set>

namespace persimmon::state {

/// Why a query cannot be planned; no part of it has run.
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

/// Maximum number of dispatchers to which one shard is sent, one after the other.
inline constexpr std::size_t MaxDispatchersPerShard = 3;

/// One shard of a plan with its candidate dispatchers, the owner first.
struct PlannedShard
{
    protocol::Shard shard;
    std::vector<std::string> dispatchers;
};

/// Shards of one pinned snapshot that a query reads.
struct QueryPlan
{
    protocol::Profile profile;
    std::uint64_t snapshot = 0;
    std::uint64_t configRevision = 0;
    std::vector<PlannedShard> shards;

    /// @return indexes into shards, grouped by the name of the owning dispatcher.
    std::map<std::string, std::vector<std::size_t>> byOwner() const;
};

/// Moves dispatchers with suspect links to the end of each shard's ranking, keeping their order.
/// @param isSuspect returns whether the link to a dispatcher is suspect.
/// @return the dispatchers that are no longer first in a ranking.
std::set<std::string> demoteSuspects(QueryPlan &plan,
                                     const std::function<bool(const std::string &)> &isSuspect);

/// Selects the snapshot and the shards of queries on one view, which must outlive the planner.
class QueryPlanner
{
public:
    explicit QueryPlanner(const ClusterView &view) : view_(view) {}

    /// Plans a query on the newest usable snapshot.
    /// @param request the caller's request; its token sets the oldest snapshot allowed.
    /// @param missing snapshots that replicas have reported as missing.
    Result<QueryPlan, PlanError> plan(const protocol::QueryRequest &request,
                                      const std::set<std::uint64_t> &missing = {}) const;

private:
    const ClusterView &view_;
};

} // namespace persimmon::state
