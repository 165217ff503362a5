#include "protocol/platform_codec.h"
#include "protocol/json_writer.h"

#include "protocol/host_record_json.h"

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

/// Values are validated key by key later. One deeply nested value must not make the reply
/// unreadable and thereby hold back the changes of all other keys.
constexpr std::size_t ConfigJsonDepth = 1024;

ConfigEntry readEntry(const JsonReader &reader)
{
    ConfigEntry entry;
    entry.key = reader.member("key").name();
    entry.revision = reader.member("revision").integer();
    const auto value = reader.member("value");
    if (!value.value().is_null())
        entry.value = serializeJson(value.value());
    return entry;
}

ConfigResponse readConfig(const JsonReader &reader)
{
    ConfigResponse reply;
    reply.revision = reader.member("revision").integer();
    reader.member("entries").forEach(
            [&](const JsonReader &row) { reply.entries.push_back(readEntry(row)); });
    return reply;
}

HostsResponse readHostsResponse(const JsonReader &reader)
{
    HostsResponse reply;
    reply.revision = reader.member("revision").integer();
    if (reader.has("hosts"))
        reply.hosts = readHosts(reader.member("hosts"));
    return reply;
}

} // namespace

std::string encodeConfigResponse(const ConfigResponse &reply)
{
    std::string entries;
    for (const auto &entry : reply.entries) {
        const json::object row{{"key", entry.key}, {"revision", entry.revision}};
        entries += entries.empty() ? "[" : ",";
        entries += withRawMember(serializeJson(row), "value", entry.value.value_or(""), "null");
    }
    entries += entries.empty() ? "[]" : "]";
    return withRawMember(serializeJson(json::object{{"revision", reply.revision}}), "entries",
                         entries, "[]");
}

ProtocolResult<ConfigResponse> decodeConfigResponse(std::string_view body)
{
    return decodeJson<ConfigResponse>(body, readConfig, ConfigJsonDepth);
}

std::string encodeHostsResponse(const HostsResponse &reply)
{
    json::object body{{"revision", reply.revision}};
    if (reply.hosts)
        body["hosts"] = hostsArray(*reply.hosts);
    return serializeJson(body);
}

ProtocolResult<HostsResponse> decodeHostsResponse(std::string_view body)
{
    return decodeJson<HostsResponse>(body, readHostsResponse);
}

} // namespace persimmon::protocol
