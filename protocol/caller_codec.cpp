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

json::object locateObject(const LocateResponse &answer)
{
    return {{"address", answer.address},
            {"valid_ms", millisecondCount(answer.validFor)},
            {"home", answer.home}};
}

LocateResponse readLocate(const JsonReader &reader)
{
    LocateResponse answer;
    answer.address = reader.member("address").name();
    answer.validFor = reader.member("valid_ms").milliseconds();
    answer.home = reader.member("home").text(0, TokenLimit);
    return answer;
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

void readOutcome(const JsonReader &reader, QueryResponse &answer)
{
    answer.outcome = reader.member("outcome").choice(OutcomeNames);
    if (answer.outcome == Outcome::Done) {
        answer.items = reader.member("items").rawText(json::kind::array);
        return;
    }
    const auto error = reader.member("error");
    const auto *row = findError(error.text());
    if (row == nullptr || row->outcome != answer.outcome)
        error.fail(ProtocolErrorCode::InvalidValue, "is not an error of this outcome");
    else
        answer.error = row->error;
    answer.message = reader.member("message").text();
}

QueryResponse readAnswer(const JsonReader &reader)
{
    QueryResponse answer;
    readOutcome(reader, answer);
    if (reader.has("request_id"))
        answer.requestId = reader.member("request_id").text(0, TokenLimit);
    if (reader.has("snapshot"))
        answer.snapshot = reader.member("snapshot").integer();
    if (reader.has("snapshot_token"))
        answer.snapshotToken = reader.member("snapshot_token").text(0, TokenLimit);
    if (reader.has("coverage"))
        answer.coverage = readCoverage(reader.member("coverage"));
    if (reader.has("elapsed_ms")) {
        const auto elapsed = reader.member("elapsed_ms").number(0, DurationLimit.count());
        answer.elapsed =
                std::chrono::microseconds(std::llround(elapsed * MicrosecondsPerMillisecond));
    }
    if (reader.has("executions"))
        answer.executions = reader.member("executions").integer32();
    if (reader.has("home"))
        answer.home = readLocate(reader.member("home"));
    if (reader.has("retry_after_ms"))
        answer.retryAfter = reader.member("retry_after_ms").milliseconds();
    return answer;
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

std::string encodeQueryResponse(const QueryResponse &answer)
{
    json::object body{{"outcome", enumName(OutcomeNames, answer.outcome)}};
    if (answer.outcome != Outcome::Done) {
        body["error"] = callerErrorName(answer.error);
        body["message"] = answer.message;
    }
    if (!answer.requestId.empty())
        body["request_id"] = answer.requestId;
    if (answer.snapshot)
        body["snapshot"] = *answer.snapshot;
    if (!answer.snapshotToken.empty())
        body["snapshot_token"] = answer.snapshotToken;
    if (answer.coverage)
        body["coverage"] = coverageObject(*answer.coverage);
    body["elapsed_ms"] = static_cast<double>(answer.elapsed.count()) / MicrosecondsPerMillisecond;
    body["executions"] = answer.executions;
    if (answer.home)
        body["home"] = locateObject(*answer.home);
    if (answer.retryAfter)
        body["retry_after_ms"] = millisecondCount(*answer.retryAfter);
    auto text = serializeJson(body);
    if (answer.outcome != Outcome::Done)
        return text;
    return withRawMember(std::move(text), "items", answer.items, "[]");
}

ProtocolResult<QueryResponse> decodeQueryResponse(std::string_view body)
{
    return decodeJson<QueryResponse>(body, readAnswer);
}

std::string encodeLocateResponse(const LocateResponse &answer)
{
    return serializeJson(locateObject(answer));
}

ProtocolResult<LocateResponse> decodeLocateResponse(std::string_view body)
{
    return decodeJson<LocateResponse>(body, readLocate);
}

int httpStatus(const QueryResponse &answer)
{
    constexpr int Success = 200;
    constexpr int InternalError = 500;
    if (answer.outcome == Outcome::Done)
        return Success;
    for (const auto &row : CallerErrorTable) {
        if (row.error == answer.error)
            return row.httpStatus;
    }
    return InternalError;
}

QueryResponse makeErrorResponse(CallerError error, std::string message)
{
    QueryResponse answer;
    answer.error = error;
    answer.message = std::move(message);
    // An error outside the table gives no certainty that nothing ran.
    answer.outcome = Outcome::Unknown;
    for (const auto &row : CallerErrorTable) {
        if (row.error == error)
            answer.outcome = row.outcome;
    }
    return answer;
}

} // namespace persimmon::protocol
