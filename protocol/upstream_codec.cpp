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
    request.priority = reader.member("priority").choice(PriorityNames);
    request.query = reader.member("query").canonicalObject();
    if (reader.has("key"))
        request.key = reader.member("key").text(0, TokenLimit);
    return request;
}

ExecuteSuccess readAnswer(const JsonReader &reader)
{
    ExecuteSuccess answer;
    answer.requestId = reader.member("request_id").text(1, TokenLimit);
    answer.attempt = reader.member("attempt").integer();
    answer.shard = reader.member("shard").name();
    answer.snapshot = reader.member("snapshot").integer();
    answer.incarnation = reader.member("incarnation").name();
    answer.items = reader.member("items").rawText(json::kind::array);
    return answer;
}

ExecuteRefusal readRefusal(const JsonReader &reader)
{
    ExecuteRefusal refusal;
    refusal.reason = reader.member("error").choice(UpstreamRefusalNames);
    if (reader.has("incarnation"))
        refusal.incarnation = reader.member("incarnation").text(0, NameLimit);
    if (reader.has("held")) {
        reader.member("held").forEach(
                [&](const JsonReader &id) { refusal.held.push_back(id.integer()); });
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

std::string encodeAnswer(const ExecuteSuccess &answer)
{
    const json::object body{{"request_id", answer.requestId},
                            {"attempt", answer.attempt},
                            {"shard", answer.shard},
                            {"snapshot", answer.snapshot},
                            {"incarnation", answer.incarnation}};
    return withRawMember(serializeJson(body), "items", answer.items, "[]");
}

std::string encodeRefusal(const ExecuteRefusal &refusal)
{
    json::object body{{"error", enumName(UpstreamRefusalNames, refusal.reason)},
                      {"incarnation", refusal.incarnation}};
    if (refusal.reason == UpstreamRefusal::SnapshotMissing)
        body["held"] = json::array(refusal.held.begin(), refusal.held.end());
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

std::string encodeExecuteResponse(const ExecuteResponse &reply)
{
    if (const auto *answer = std::get_if<ExecuteSuccess>(&reply))
        return encodeAnswer(*answer);
    return encodeRefusal(std::get<ExecuteRefusal>(reply));
}

ProtocolResult<ExecuteResponse> decodeExecuteResponse(int status, std::string_view body)
{
    if (status == StatusOk) {
        return decodeJson<ExecuteResponse>(body, [](const JsonReader &reader) -> ExecuteResponse {
            return readAnswer(reader);
        });
    }
    if (status != StatusBadRequest && status != StatusConflict && status != StatusUnavailable) {
        return ProtocolError{ProtocolErrorCode::UnknownType,
                             "HTTP status " + std::to_string(status) + " is not part of the API"};
    }
    // The status and the reason must agree: only an exact refusal proves that nothing was executed.
    return decodeJson<ExecuteResponse>(body, [status](const JsonReader &reader) -> ExecuteResponse {
        const ExecuteResponse reply = readRefusal(reader);
        if (executeStatus(reply) != status)
            reader.fail(ProtocolErrorCode::InvalidValue, "has an error of another HTTP status");
        return reply;
    });
}

int executeStatus(const ExecuteResponse &reply)
{
    const auto *refusal = std::get_if<ExecuteRefusal>(&reply);
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
