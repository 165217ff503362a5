#include "protocol/view_codec.h"
#include "protocol/json_writer.h"

#include "protocol/era_json.h"
#include "protocol/host_record_json.h"

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

json::array quarantineArray(const std::vector<QuarantineEntry> &entries)
{
    json::array rows;
    for (const auto &entry : entries) {
        rows.emplace_back(json::object{{"fingerprint", entry.fingerprint},
                                       {"expires_in_ms", millisecondCount(entry.expiresIn)}});
    }
    return rows;
}

json::array leavingArray(const std::vector<LeavingEntry> &entries)
{
    json::array rows;
    for (const auto &entry : entries) {
        rows.emplace_back(json::object{{"host", entry.host},
                                       {"incarnation", entry.incarnation},
                                       {"expires_in_ms", millisecondCount(entry.expiresIn)}});
    }
    return rows;
}

json::array incarnationsArray(const std::vector<EntryIncarnation> &entries)
{
    json::array rows;
    for (const auto &entry : entries) {
        rows.emplace_back(json::object{{"host", entry.host},
                                       {"incarnation", entry.incarnation},
                                       {"epoch", entry.epoch},
                                       {"version", entry.version}});
    }
    return rows;
}

/// Encodes values as JSON strings, so that no intermediate JSON library reformats their numbers.
json::array entriesArray(const std::vector<ConfigEntry> &entries)
{
    json::array rows;
    for (const auto &entry : entries) {
        json::object row{{"key", entry.key}, {"revision", entry.revision}, {"value", nullptr}};
        if (entry.value)
            row["value"] = *entry.value;
        writeEra(row, "era", entry.era);
        rows.emplace_back(std::move(row));
    }
    return rows;
}

json::object deltaObject(const HostsDelta &delta)
{
    json::array removed;
    for (const auto &name : delta.removed)
        removed.emplace_back(name);
    return {{"changed", hostsArray(delta.changed)}, {"removed", std::move(removed)}};
}

HostsDelta readDelta(const JsonReader &reader)
{
    HostsDelta delta;
    delta.changed = readHosts(reader.member("changed"));
    reader.member("removed").forEach(
            [&](const JsonReader &row) { delta.removed.push_back(row.name()); });
    return delta;
}

std::vector<QuarantineEntry> readQuarantine(const JsonReader &reader)
{
    std::vector<QuarantineEntry> entries;
    reader.forEach([&](const JsonReader &row) {
        entries.push_back(
                {row.member("fingerprint").integer(), row.member("expires_in_ms").milliseconds()});
    });
    return entries;
}

std::vector<LeavingEntry> readLeaving(const JsonReader &reader)
{
    std::vector<LeavingEntry> entries;
    reader.forEach([&](const JsonReader &row) {
        entries.push_back({row.member("host").name(), row.member("incarnation").integer(),
                           row.member("expires_in_ms").milliseconds()});
    });
    return entries;
}

std::vector<EntryIncarnation> readIncarnations(const JsonReader &reader)
{
    std::vector<EntryIncarnation> entries;
    reader.forEach([&](const JsonReader &row) {
        entries.push_back({row.member("host").name(), row.member("incarnation").integer(),
                           row.member("epoch").integer(), row.member("version").integer()});
    });
    return entries;
}

std::vector<ConfigEntry> readEntries(const JsonReader &reader)
{
    std::vector<ConfigEntry> entries;
    reader.forEach([&](const JsonReader &row) {
        ConfigEntry entry{row.member("key").name(), row.member("revision").integer(), {}};
        if (row.has("value"))
            entry.value = row.member("value").text();
        entry.era = readEra(row, "era");
        entries.push_back(std::move(entry));
    });
    return entries;
}

/// @return an object with the members that requests and responses have in common.
template <typename Message>
json::object commonObject(const Message &message)
{
    json::object body{{"host", message.host},
                      {"config_revision", message.configRevision},
                      {"config_digest", message.configDigest},
                      {"hosts_revision", message.hostsRevision},
                      {"quarantine", quarantineArray(message.quarantine)},
                      {"leaving", leavingArray(message.leaving)},
                      {"incarnations", incarnationsArray(message.incarnations)}};
    writeEra(body, "config_era", message.configEra);
    writeEra(body, "hosts_era", message.hostsEra);
    if (!message.configReconciled)
        body["config_reconciled"] = false;
    if (!message.hostsReconciled)
        body["hosts_reconciled"] = false;
    return body;
}

template <typename Message>
Message readCommon(const JsonReader &reader)
{
    Message message;
    message.host = reader.member("host").text(0, NameLimit);
    message.configRevision = reader.member("config_revision").integer();
    message.configDigest = reader.member("config_digest").integer();
    message.hostsRevision = reader.member("hosts_revision").integer();
    message.quarantine = readQuarantine(reader.member("quarantine"));
    message.leaving = readLeaving(reader.member("leaving"));
    message.incarnations = readIncarnations(reader.member("incarnations"));
    message.configEra = readEra(reader, "config_era");
    message.hostsEra = readEra(reader, "hosts_era");
    // There is nothing to adopt in the first era, the only one that older builds know.
    if (reader.has("config_reconciled"))
        message.configReconciled = reader.member("config_reconciled").boolean();
    if (reader.has("hosts_reconciled"))
        message.hostsReconciled = reader.member("hosts_reconciled").boolean();
    return message;
}

ViewRequest readRequest(const JsonReader &reader)
{
    auto request = readCommon<ViewRequest>(reader);
    request.wantAll = reader.member("want_all").boolean();
    return request;
}

ViewResponse readResponse(const JsonReader &reader)
{
    auto response = readCommon<ViewResponse>(reader);
    response.entries = readEntries(reader.member("entries"));
    if (reader.has("hosts"))
        response.hosts = readHosts(reader.member("hosts"));
    if (reader.has("hosts_delta"))
        response.hostsDelta = readDelta(reader.member("hosts_delta"));
    // Processes of the previous version send complete lists only, without a digest.
    if (reader.has("hosts_digest"))
        response.hostsDigest = reader.member("hosts_digest").integer();
    // The age has no limit: an agent may have been disconnected from the service for a long time.
    response.confirmedAge =
            reader.member("confirmed_age_ms")
                    .milliseconds(std::chrono::milliseconds(0), std::chrono::milliseconds::max());
    response.ready = reader.member("ready").boolean();
    if (reader.has("config_complete"))
        response.configComplete = reader.member("config_complete").boolean();
    return response;
}

} // namespace

std::string encodeViewRequest(const ViewRequest &request)
{
    auto body = commonObject(request);
    body["want_all"] = request.wantAll;
    return serializeJson(body);
}

ProtocolResult<ViewRequest> decodeViewRequest(std::string_view text)
{
    return decodeJson<ViewRequest>(text, readRequest);
}

std::string encodeViewResponse(const ViewResponse &response)
{
    auto body = commonObject(response);
    body["entries"] = entriesArray(response.entries);
    if (response.hosts)
        body["hosts"] = hostsArray(*response.hosts);
    if (response.hostsDelta)
        body["hosts_delta"] = deltaObject(*response.hostsDelta);
    body["hosts_digest"] = response.hostsDigest;
    body["confirmed_age_ms"] = millisecondCount(response.confirmedAge);
    body["ready"] = response.ready;
    if (response.configComplete)
        body["config_complete"] = true;
    return serializeJson(body);
}

ProtocolResult<ViewResponse> decodeViewResponse(std::string_view text)
{
    return decodeJson<ViewResponse>(text, readResponse);
}

} // namespace persimmon::protocol
