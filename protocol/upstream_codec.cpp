#include "protocol/upstream_codec.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

ExecuteRequest readRequest(const JsonReader &reader)
{
    ExecuteRequest request;
    request.requestId = reader.member("request_id").text(1, TokenLimit);
    request.attempt = reader.member("attempt").integer();
    request.shard = reader.member("shard").name();
    request.snapshot = reader.member("snapshot").integer();
    request.deadline = reader.member("deadline_ms").milliseconds();
    request.priority = reader.member("priority").enumerator(PriorityNames);
    request.query = reader.member("query").canonicalObject();
    if (reader.has("key"))
        request.key = reader.member("key").text(0, TokenLimit);
    return request;
}

ExecuteSuccess readSuccess(const JsonReader &reader)
{
    ExecuteSuccess success;
    success.requestId = reader.member("request_id").text(1, TokenLimit);
    success.attempt = reader.member("attempt").integer();
    success.shard = reader.member("shard").name();
    success.snapshot = reader.member("snapshot").integer();
    success.incarnation = reader.member("incarnation").name();
    success.items = reader.member("items").rawText(json::kind::array);
    return success;
}

ExecuteRefusal readRefusal(const JsonReader &reader)
{
    ExecuteRefusal refusal;
    refusal.reason = reader.member("error").enumerator(UpstreamRefusalNames);
    if (reader.has("incarnation"))
        refusal.incarnation = reader.member("incarnation").text(0, NameLimit);
    if (reader.has("held")) {
        reader.member("held").forEach(
                [&](const JsonReader &id) { refusal.held.push_back(id.integer()); });
    }
    if (reader.has("request_id")) {
        refusal.requestId = reader.member("request_id").text(1, TokenLimit);
        refusal.attempt = reader.member("attempt").integer();
    }
    return refusal;
}

CancelExecution readCancel(const JsonReader &reader)
{
    CancelExecution cancel;
    cancel.requestId = reader.member("request_id").text(1, TokenLimit);
    cancel.attempt = reader.member("attempt").integer();
    return cancel;
}

std::string encodeSuccess(const ExecuteSuccess &success)
{
    const json::object body{{"request_id", success.requestId},
                            {"attempt", success.attempt},
                            {"shard", success.shard},
                            {"snapshot", success.snapshot},
                            {"incarnation", success.incarnation}};
    return withRawMember(serializeJson(body), "items", success.items, "[]");
}

std::string encodeRefusal(const ExecuteRefusal &refusal)
{
    json::object body{{"error", enumName(UpstreamRefusalNames, refusal.reason)},
                      {"incarnation", refusal.incarnation}};
    if (refusal.reason == UpstreamRefusal::SnapshotMissing)
        body["held"] = json::array(refusal.held.begin(), refusal.held.end());
    if (!refusal.requestId.empty()) {
        body["request_id"] = refusal.requestId;
        body["attempt"] = refusal.attempt;
    }
    return serializeJson(body);
}

} // namespace

std::string encodeExecuteRequest(const ExecuteRequest &request)
{
    json::object body{{"request_id", request.requestId},
                      {"attempt", request.attempt},
                      {"shard", request.shard},
                      {"snapshot", request.snapshot},
                      {"deadline_ms", millisecondCount(request.deadline)},
                      {"priority", enumName(PriorityNames, request.priority)}};
    if (!request.key.empty())
        body["key"] = request.key;
    return withRawMember(serializeJson(body), "query", request.query, "{}");
}

ProtocolResult<ExecuteRequest> decodeExecuteRequest(std::string_view body)
{
    return decodeJson<ExecuteRequest>(body, readRequest);
}

std::string encodeExecuteResponse(const ExecuteResponse &response)
{
    if (const auto *success = std::get_if<ExecuteSuccess>(&response))
        return encodeSuccess(*success);
    return encodeRefusal(std::get<ExecuteRefusal>(response));
}

ProtocolResult<ExecuteResponse> decodeExecuteResponse(int status, std::string_view body)
{
    if (status == StatusOk) {
        return decodeJson<ExecuteResponse>(body, [](const JsonReader &reader) -> ExecuteResponse {
            return readSuccess(reader);
        });
    }
    if (status != StatusBadRequest && status != StatusConflict && status != StatusUnavailable) {
        return ProtocolError{ProtocolErrorCode::UnknownType,
                             "HTTP status " + std::to_string(status) + " is not part of the API"};
    }
    // The status must match the reason: only a consistent refusal proves that nothing was executed.
    return decodeJson<ExecuteResponse>(body, [status](const JsonReader &reader) -> ExecuteResponse {
        const ExecuteResponse response = readRefusal(reader);
        if (executeStatus(response) != status)
            reader.fail(ProtocolErrorCode::InvalidValue,
                        "has an error that does not match the HTTP status");
        return response;
    });
}

int executeStatus(const ExecuteResponse &response)
{
    const auto *refusal = std::get_if<ExecuteRefusal>(&response);
    if (refusal == nullptr)
        return StatusOk;
    if (refusal->reason == UpstreamRefusal::SnapshotMissing)
        return StatusConflict;
    return refusal->reason == UpstreamRefusal::BadRequest ? StatusBadRequest : StatusUnavailable;
}

std::string encodeCancelExecution(const CancelExecution &cancel)
{
    return serializeJson(
            json::object{{"request_id", cancel.requestId}, {"attempt", cancel.attempt}});
}

ProtocolResult<CancelExecution> decodeCancelExecution(std::string_view body)
{
    return decodeJson<CancelExecution>(body, readCancel);
}

} // namespace persimmon::protocol
