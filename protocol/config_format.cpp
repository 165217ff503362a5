#include "protocol/config_documents.h"
#include "protocol/json_writer.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

json::value toJson(const Profile &profile)
{
    return json::object{{"group", profile.group},
                        {"scope", enumName(ScopeNames, profile.scope)},
                        {"min_coverage", profile.minCoverage},
                        {"deadline_ms", profile.deadline.count()},
                        {"enough_after_ms", profile.enoughAfter.count()},
                        {"priority", enumName(PriorityNames, profile.priority)},
                        {"repeatable", profile.repeatable},
                        {"extra_load", profile.extraLoad},
                        {"on_low_coverage", enumName(LowCoverageNames, profile.onLowCoverage)}};
}

json::value toJson(const GroupSettings &group)
{
    return json::object{{"slots", group.slots},
                        {"connections", group.connections},
                        {"connection_cost_ms", group.connectionCost.count()},
                        {"cold_limit", group.coldLimit}};
}

json::value toJson(const SnapshotMap &snapshot)
{
    json::array shards;
    for (const auto &shard : snapshot.shards) {
        shards.emplace_back(json::object{{"id", shard.id},
                                         {"service", shard.service},
                                         {"from", shard.from},
                                         {"to", shard.to}});
    }
    return json::object{{"id", snapshot.id}, {"shards", std::move(shards)}};
}

json::value toJson(const GroupIndex &index)
{
    json::array snapshots;
    for (const auto &snapshot : index.snapshots)
        snapshots.push_back(toJson(snapshot));
    return json::object{{"snapshots", std::move(snapshots)}};
}

json::value toJson(const OutOfService &out)
{
    return json::array(out.names.begin(), out.names.end());
}

} // namespace

std::string formatConfigDocument(const ConfigDocument &document)
{
    return serializeJson(std::visit([](const auto &content) { return toJson(content); }, document));
}

} // namespace persimmon::protocol
