#include "protocol/platform_codec.h"
#include "protocol/json_writer.h"

#include "protocol/era_json.h"
#include "protocol/host_record_json.h"
#include "protocol/json_splitter.h"

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

/// Maximum nesting depth of a configuration value, which is validated per key later.
constexpr std::size_t ValueJsonDepth = 1024;
/// Stands for a value that is no JSON or nested too deeply. No document has this form, so that the
/// last valid one of its key stays in force.
constexpr const char *UnreadableValue = "\"unreadable\"";

/// @return the value in the form in which it is compared and passed on.
std::string normalizeValue(std::string_view text)
{
    std::optional<JsonError> error;
    const auto value = parseJson(text, error, ValueJsonDepth);
    return value ? serializeJson(*value) : UnreadableValue;
}

ProtocolResult<ConfigEntry> decodeEntry(std::string_view row)
{
    const auto members = splitJsonObject(row);
    const auto value = members ? findMember(*members, "value") : std::nullopt;
    if (!value)
        return ProtocolError{ProtocolErrorCode::MissingField, "an entry has no value"};
    const auto head = joinWithout(*members, "value");
    auto decoded = decodeJson<ConfigEntry>(head, [](const JsonReader &reader) {
        ConfigEntry read;
        read.key = reader.member("key").name();
        read.revision = reader.member("revision").integer();
        read.era = readEra(reader, "era");
        return read;
    });
    if (!isOk(decoded))
        return decoded;
    auto entry = takeValue(decoded);
    if (*value != "null")
        entry.value = normalizeValue(*value);
    return entry;
}

ProtocolResult<HostRecord> decodeHost(std::string_view row)
{
    return decodeJson<HostRecord>(row, readHost);
}

/// Decodes the rows of a list, each by itself.
/// @param invalid receives why rows are left out.
template <typename Row>
ProtocolResult<std::vector<Row>> decodeRows(std::string_view list,
                                            ProtocolResult<Row> (*decode)(std::string_view),
                                            std::vector<ProtocolError> &invalid)
{
    const auto texts = splitJsonArray(list);
    if (!texts)
        return ProtocolError{ProtocolErrorCode::InvalidValue, "the rows are no array"};
    std::vector<Row> rows;
    for (const auto text : *texts) {
        auto row = decode(text);
        if (isOk(row))
            rows.push_back(takeValue(row));
        else
            invalid.push_back(errorOf(row));
    }
    return rows;
}

ConfigResponse readConfigHead(const JsonReader &reader)
{
    ConfigResponse response;
    response.revision = reader.member("revision").integer();
    response.era = readEra(reader, "era");
    if (reader.has("complete"))
        response.isComplete = reader.member("complete").boolean();
    return response;
}

HostsResponse readHostsHead(const JsonReader &reader)
{
    HostsResponse response;
    response.revision = reader.member("revision").integer();
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
    const auto members = splitJsonObject(body);
    const auto list = members ? findMember(*members, "entries") : std::nullopt;
    if (!list)
        return ProtocolError{ProtocolErrorCode::Malformed, "the response has no entries"};
    auto head = decodeJson<ConfigResponse>(joinWithout(*members, "entries"), readConfigHead);
    if (!isOk(head))
        return head;
    auto response = takeValue(head);
    auto entries = decodeRows(*list, decodeEntry, response.invalidRows);
    if (!isOk(entries))
        return errorOf(entries);
    response.entries = takeValue(entries);
    return response;
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
    const auto members = splitJsonObject(body);
    if (!members)
        return ProtocolError{ProtocolErrorCode::Malformed, "the response is no object"};
    auto head = decodeJson<HostsResponse>(joinWithout(*members, "hosts"), readHostsHead);
    const auto list = findMember(*members, "hosts");
    if (!isOk(head) || !list || *list == "null")
        return head;
    auto response = takeValue(head);
    auto hosts = decodeRows(*list, decodeHost, response.invalidRows);
    if (!isOk(hosts))
        return errorOf(hosts);
    response.hosts = takeValue(hosts);
    return response;
}

} // namespace persimmon::protocol
