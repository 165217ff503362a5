#include "protocol/caller_codec.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

#include <cmath>

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000;

const CallerErrorInfo *findError(std::string_view name)
{
    for (const auto &row : CallerErrorTable) {
        if (row.name == name)
            return &row;
    }
    return nullptr;
}

json::object locateObject(const LocateResponse &response)
{
    return {{"address", response.address},
            {"valid_ms", millisecondCount(response.validFor)},
            {"home", response.home}};
}

LocateResponse readLocate(const JsonReader &reader)
{
    LocateResponse response;
    response.address = reader.member("address").name();
    response.validFor = reader.member("valid_ms").milliseconds();
    response.home = reader.member("home").text(0, TokenLimit);
    return response;
}

QueryRequest readRequest(const JsonReader &reader)
{
    QueryRequest request;
    reader.allowOnly(
            {"profile", "caller", "query", "key", "deadline_ms", "snapshot_token", "request_id"});
    request.profile = reader.member("profile").name();
    request.caller = reader.member("caller").name();
    request.query = reader.member("query").canonicalObject();
    if (reader.has("key"))
        request.key = reader.member("key").text(1, TokenLimit);
    if (reader.has("deadline_ms"))
        request.deadline = reader.member("deadline_ms").milliseconds();
    if (reader.has("snapshot_token"))
        request.snapshotToken = reader.member("snapshot_token").text(0, TokenLimit);
    if (reader.has("request_id"))
        request.requestId = reader.member("request_id").text(0, TokenLimit);
    return request;
}

json::object coverageObject(const Coverage &coverage)
{
    return {{"fraction", coverage.fraction},
            {"shards", coverage.shards},
            {"answered", coverage.answered},
            {"complete", coverage.isComplete()},
            {"missing", json::array(coverage.missing.begin(), coverage.missing.end())}};
}

Coverage readCoverage(const JsonReader &reader)
{
    Coverage coverage;
    coverage.fraction = reader.member("fraction").number(0, 1);
    coverage.shards = reader.member("shards").integer32();
    coverage.answered = reader.member("answered").integer32();
    reader.member("missing").forEach(
            [&](const JsonReader &name) { coverage.missing.push_back(name.name()); });
    if (coverage.answered > coverage.shards)
        reader.fail(ProtocolErrorCode::InvalidValue, "has more answered shards than shards");
    return coverage;
}

void readOutcome(const JsonReader &reader, QueryResponse &response)
{
    response.outcome = reader.member("outcome").enumerator(OutcomeNames);
    if (response.outcome == Outcome::Done) {
        response.items = reader.member("items").rawText(json::kind::array);
        return;
    }
    const auto error = reader.member("error");
    const auto *row = findError(error.text());
    if (row == nullptr || row->outcome != response.outcome)
        error.fail(ProtocolErrorCode::InvalidValue, "is not an error of this outcome");
    else
        response.error = row->error;
    response.message = reader.member("message").text();
}

QueryResponse readResponse(const JsonReader &reader)
{
    QueryResponse response;
    readOutcome(reader, response);
    if (reader.has("request_id"))
        response.requestId = reader.member("request_id").text(0, TokenLimit);
    if (reader.has("snapshot"))
        response.snapshot = reader.member("snapshot").integer();
    if (reader.has("snapshot_token"))
        response.snapshotToken = reader.member("snapshot_token").text(0, TokenLimit);
    if (reader.has("coverage"))
        response.coverage = readCoverage(reader.member("coverage"));
    if (reader.has("elapsed_ms")) {
        const auto elapsed = reader.member("elapsed_ms").number(0, DurationLimit.count());
        response.elapsed =
                std::chrono::microseconds(std::llround(elapsed * MicrosecondsPerMillisecond));
    }
    if (reader.has("executions"))
        response.executions = reader.member("executions").integer32();
    if (reader.has("home"))
        response.home = readLocate(reader.member("home"));
    if (reader.has("retry_after_ms"))
        response.retryAfter = reader.member("retry_after_ms").milliseconds();
    return response;
}

} // namespace

ProtocolResult<QueryRequest> decodeQueryRequest(std::string_view body)
{
    if (body.size() > CallerBodyLimit)
        return ProtocolError{ProtocolErrorCode::TooLarge, "the body is larger than 1 MB"};
    return decodeJson<QueryRequest>(body, readRequest);
}

std::string encodeQueryRequest(const QueryRequest &request)
{
    json::object body{{"profile", request.profile}, {"caller", request.caller}};
    if (request.key)
        body["key"] = *request.key;
    if (request.deadline)
        body["deadline_ms"] = millisecondCount(*request.deadline);
    if (request.snapshotToken)
        body["snapshot_token"] = *request.snapshotToken;
    if (request.requestId)
        body["request_id"] = *request.requestId;
    return withRawMember(serializeJson(body), "query", request.query, "{}");
}

std::string encodeQueryResponse(const QueryResponse &response)
{
    json::object body{{"outcome", enumName(OutcomeNames, response.outcome)}};
    if (response.outcome != Outcome::Done) {
        body["error"] = callerErrorName(response.error);
        body["message"] = response.message;
    }
    if (!response.requestId.empty())
        body["request_id"] = response.requestId;
    if (response.snapshot)
        body["snapshot"] = *response.snapshot;
    if (!response.snapshotToken.empty())
        body["snapshot_token"] = response.snapshotToken;
    if (response.coverage)
        body["coverage"] = coverageObject(*response.coverage);
    body["elapsed_ms"] = static_cast<double>(response.elapsed.count()) / MicrosecondsPerMillisecond;
    body["executions"] = response.executions;
    if (response.home)
        body["home"] = locateObject(*response.home);
    if (response.retryAfter)
        body["retry_after_ms"] = millisecondCount(*response.retryAfter);
    auto text = serializeJson(body);
    if (response.outcome != Outcome::Done)
        return text;
    return withRawMember(std::move(text), "items", response.items, "[]");
}

ProtocolResult<QueryResponse> decodeQueryResponse(std::string_view body)
{
    return decodeJson<QueryResponse>(body, readResponse);
}

std::string encodeLocateResponse(const LocateResponse &response)
{
    return serializeJson(locateObject(response));
}

ProtocolResult<LocateResponse> decodeLocateResponse(std::string_view body)
{
    return decodeJson<LocateResponse>(body, readLocate);
}

int httpStatus(const QueryResponse &response)
{
    constexpr int Success = 200;
    constexpr int InternalError = 500;
    if (response.outcome == Outcome::Done)
        return Success;
    for (const auto &row : CallerErrorTable) {
        if (row.error == response.error)
            return row.httpStatus;
    }
    return InternalError;
}

QueryResponse makeErrorResponse(CallerError error, std::string message)
{
    QueryResponse response;
    response.error = error;
    response.message = std::move(message);
    // For an error that is not in the table, the request may have been executed.
    response.outcome = Outcome::Unknown;
    for (const auto &row : CallerErrorTable) {
        if (row.error == error)
            response.outcome = row.outcome;
    }
    return response;
}

} // namespace persimmon::protocol
