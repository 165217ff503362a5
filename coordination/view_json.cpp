#include "coordination/view_json.h"

#include "coordination/json_text.h"
#include "state/ownership.h"

namespace persimmon::coordination {

namespace {

Json::Value toJsonArray(const std::set<std::string, std::less<>> &names)
{
    Json::Value list(Json::arrayValue);
    for (const auto &name : names)
        list.append(name);
    return list;
}

template <typename Document>
void addDocuments(Json::Value &entries, const std::string &kind,
                  const std::map<std::string, Document, std::less<>> &documents)
{
    for (const auto &[name, document] : documents)
        entries[kind + "/" + name] = parseJson(protocol::formatConfigDocument(document));
}

Json::Value describeRow(const AuditRow &row)
{
    const auto time =
            std::chrono::duration_cast<std::chrono::milliseconds>(row.time.time_since_epoch());
    Json::Value value(Json::objectValue);
    value["time_ms"] = Json::Int64(time.count());
    value["source"] = row.change.source;
    value["key"] = row.change.key;
    value["revision_before"] = Json::UInt64(row.change.revisionBefore);
    value["revision_after"] = Json::UInt64(row.change.revisionAfter);
    value["accepted"] = !row.change.fault;
    if (row.change.fault) {
        value["path"] = row.change.fault->path;
        value["value"] = row.change.fault->value;
        value["reason"] = row.change.fault->reason;
    }
    return value;
}

} // namespace

Json::Value describeConfig(const state::ClusterView &view)
{
    Json::Value entries(Json::objectValue);
    addDocuments(entries, "profile", view.profiles);
    addDocuments(entries, "group", view.groups);
    addDocuments(entries, "index", view.indexes);
    entries["out/domains"] = toJsonArray(view.outDomains);
    entries["out/hosts"] = toJsonArray(view.outHosts);
    Json::Value result(Json::objectValue);
    result["revision"] = Json::UInt64(view.configRevision);
    result["entries"] = entries;
    return result;
}

Json::Value describeOwners(const state::ClusterView &view)
{
    Json::Value services(Json::objectValue);
    for (const auto &[service, upstreams] : view.upstreams) {
        Json::Value ranking(Json::arrayValue);
        for (const auto &host : state::rankDispatchers(view, service))
            ranking.append(host);
        services[service] = ranking;
    }
    Json::Value result(Json::objectValue);
    result["services"] = services;
    return result;
}

Json::Value describeAudit(const std::vector<AuditRow> &rows)
{
    Json::Value list(Json::arrayValue);
    for (const auto &row : rows)
        list.append(describeRow(row));
    Json::Value result(Json::objectValue);
    result["rows"] = list;
    return result;
}

} // namespace persimmon::coordination
