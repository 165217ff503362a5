#include "protocol/platform_codec.h"
#include "protocol/json_writer.h"

#include "protocol/era_json.h"
#include "protocol/host_record_json.h"

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

/// Maximum nesting depth of a configuration response. Values are validated per key later; a single
/// deeply nested value must not make the whole response invalid and so block the changes of all
/// other keys.
constexpr std::size_t ConfigJsonDepth = 1024;

ConfigEntry readEntry(const JsonReader &reader)
{
    ConfigEntry entry;
    entry.key = reader.member("key").name();
    entry.revision = reader.member("revision").integer();
    const auto value = reader.member("value");
    if (!value.value().is_null())
        entry.value = serializeJson(value.value());
    entry.era = readEra(reader, "era");
    return entry;
}

ConfigResponse readConfigResponse(const JsonReader &reader)
{
    ConfigResponse response;
    response.revision = reader.member("revision").integer();
    reader.member("entries").forEach(
            [&](const JsonReader &row) { response.entries.push_back(readEntry(row)); });
    response.era = readEra(reader, "era");
    if (reader.has("complete"))
        response.isComplete = reader.member("complete").boolean();
    return response;
}

HostsResponse readHostsResponse(const JsonReader &reader)
{
    HostsResponse response;
    response.revision = reader.member("revision").integer();
    if (reader.has("hosts"))
        response.hosts = readHosts(reader.member("hosts"));
    response.era = readEra(reader, "era");
    return response;
}

} // namespace

std::string encodeConfigResponse(const ConfigResponse &response)
{
    std::string entries;
    for (const auto &entry : response.entries) {
        json::object row{{"key", entry.key}, {"revision", entry.revision}};
        writeEra(row, "era", entry.era);
        entries += entries.empty() ? "[" : ",";
        entries += withRawMember(serializeJson(row), "value", entry.value.value_or(""), "null");
    }
    entries += entries.empty() ? "[]" : "]";
    json::object body{{"revision", response.revision}};
    writeEra(body, "era", response.era);
    if (response.isComplete)
        body["complete"] = true;
    return withRawMember(serializeJson(body), "entries", entries, "[]");
}

ProtocolResult<ConfigResponse> decodeConfigResponse(std::string_view body)
{
    return decodeJson<ConfigResponse>(body, readConfigResponse, ConfigJsonDepth);
}

std::string encodeHostsResponse(const HostsResponse &response)
{
    json::object body{{"revision", response.revision}};
    writeEra(body, "era", response.era);
    if (response.hosts)
        body["hosts"] = hostsArray(*response.hosts);
    return serializeJson(body);
}

ProtocolResult<HostsResponse> decodeHostsResponse(std::string_view body)
{
    return decodeJson<HostsResponse>(body, readHostsResponse);
}

} // namespace persimmon::protocol
