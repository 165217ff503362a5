#include "protocol/view_codec.h"
#include "protocol/json_writer.h"

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

/// Values travel as JSON strings, so that no JSON library on the way rewrites their numbers.
json::array entriesArray(const std::vector<ConfigEntry> &entries)
{
    json::array rows;
    for (const auto &entry : entries) {
        json::object row{{"key", entry.key}, {"revision", entry.revision}, {"value", nullptr}};
        if (entry.value)
            row["value"] = *entry.value;
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
        entries.push_back(std::move(entry));
    });
    return entries;
}

/// Adds the members that requests and replies share.
template <typename Message>
json::object commonObject(const Message &message)
{
    return {{"host", message.host},
            {"config_revision", message.configRevision},
            {"config_digest", message.configDigest},
            {"hosts_revision", message.hostsRevision},
            {"quarantine", quarantineArray(message.quarantine)},
            {"leaving", leavingArray(message.leaving)},
            {"incarnations", incarnationsArray(message.incarnations)}};
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
    return message;
}

ViewRequest readRequest(const JsonReader &reader)
{
    auto request = readCommon<ViewRequest>(reader);
    request.wantAll = reader.member("want_all").boolean();
    return request;
}

ViewResponse readReply(const JsonReader &reader)
{
    auto reply = readCommon<ViewResponse>(reader);
    reply.entries = readEntries(reader.member("entries"));
    if (reader.has("hosts"))
        reply.hosts = readHosts(reader.member("hosts"));
    if (reader.has("hosts_delta"))
        reply.hostsDelta = readDelta(reader.member("hosts_delta"));
    // Processes of the version before send whole lists only, without a digest.
    if (reader.has("hosts_digest"))
        reply.hostsDigest = reader.member("hosts_digest").integer();
    // An agent that lost the service long ago reports a high age, which is no fault.
    reply.confirmedAge =
            reader.member("confirmed_age_ms")
                    .milliseconds(std::chrono::milliseconds(0), std::chrono::milliseconds::max());
    reply.ready = reader.member("ready").boolean();
    return reply;
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

std::string encodeViewResponse(const ViewResponse &reply)
{
    auto body = commonObject(reply);
    body["entries"] = entriesArray(reply.entries);
    if (reply.hosts)
        body["hosts"] = hostsArray(*reply.hosts);
    if (reply.hostsDelta)
        body["hosts_delta"] = deltaObject(*reply.hostsDelta);
    body["hosts_digest"] = reply.hostsDigest;
    body["confirmed_age_ms"] = millisecondCount(reply.confirmedAge);
    body["ready"] = reply.ready;
    return serializeJson(body);
}

ProtocolResult<ViewResponse> decodeViewResponse(std::string_view text)
{
    return decodeJson<ViewResponse>(text, readReply);
}

} // namespace persimmon::protocol
