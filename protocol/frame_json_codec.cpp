#include "protocol/frame_codec.h"
#include "protocol/frame_limits.h"
#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace json = boost::json;

namespace persimmon::protocol {

namespace {

json::object toObject(const Hello &hello)
{
    return {{"type", "hello"},
            {"version", hello.version},
            {"host", hello.host},
            {"incarnation", hello.incarnation},
            {"config_revision", hello.configRevision}};
}

json::object toObject(const Heartbeat &heartbeat)
{
    return {{"type", "heartbeat"}, {"sequence", heartbeat.sequence}};
}

json::object toObject(const Batch &batch)
{
    json::array subRequests;
    for (const auto &row : batch.subRequests)
        subRequests.emplace_back(json::object{{"shard", row.shard}, {"service", row.service}});
    return {{"type", "batch"},
            {"batch_id", batch.batchId},
            {"request_id", batch.requestId},
            {"group", batch.group},
            {"snapshot", batch.snapshot},
            {"config_revision", batch.configRevision},
            {"time_left_us", batch.timeLeft.count()},
            {"priority", enumName(PriorityNames, batch.priority)},
            {"repeatable", batch.repeatable},
            {"extra_load", batch.extraLoad},
            {"fingerprint", batch.fingerprint},
            {"canary", batch.canary},
            {"query", batch.query},
            {"key", batch.key},
            {"sub_requests", std::move(subRequests)}};
}

json::object toObject(const SubResult &result)
{
    return {{"type", "sub_result"},
            {"batch_id", result.batchId},
            {"shard", result.shard},
            {"snapshot", result.snapshot},
            {"outcome", enumName(SubOutcomeNames, result.outcome)},
            {"error", enumName(SubErrorNames, result.error)},
            {"items", result.items},
            {"executions", result.executions},
            {"upstream", result.upstream},
            {"config_revision", result.configRevision}};
}

json::object toObject(const Cancel &cancel)
{
    return {{"type", "cancel"},
            {"batch_id", cancel.batchId},
            {"shards", json::array(cancel.shards.begin(), cancel.shards.end())}};
}

Hello readHello(const JsonReader &reader)
{
    return {reader.member("version").integer32(), reader.member("host").text(0, NameLimit),
            reader.member("incarnation").integer(), reader.member("config_revision").integer()};
}

Batch readBatch(const JsonReader &reader)
{
    Batch batch;
    batch.batchId = reader.member("batch_id").integer();
    batch.requestId = reader.member("request_id").text(0, TokenLimit);
    batch.group = reader.member("group").text(0, NameLimit);
    batch.snapshot = reader.member("snapshot").integer();
    batch.configRevision = reader.member("config_revision").integer();
    batch.timeLeft = std::chrono::microseconds(
            reader.member("time_left_us")
                    .integer(0, static_cast<std::uint64_t>(FrameTimeLimit.count())));
    batch.priority = reader.member("priority").enumerator(PriorityNames);
    batch.repeatable = reader.member("repeatable").boolean();
    batch.extraLoad = reader.member("extra_load").number(0, FrameExtraLoadLimit);
    batch.fingerprint = reader.member("fingerprint").integer();
    batch.canary = reader.member("canary").boolean();
    batch.query = reader.member("query").text(0, FrameQueryLimit);
    batch.key = reader.member("key").text(0, TokenLimit);
    reader.member("sub_requests").forEach([&](const JsonReader &row) {
        batch.subRequests.push_back({row.member("shard").name(), row.member("service").name()});
    });
    return batch;
}

SubResult readSubResult(const JsonReader &reader)
{
    SubResult result;
    result.batchId = reader.member("batch_id").integer();
    result.shard = reader.member("shard").text(0, NameLimit);
    result.snapshot = reader.member("snapshot").integer();
    result.outcome = reader.member("outcome").enumerator(SubOutcomeNames);
    result.error = reader.member("error").enumerator(SubErrorNames);
    result.items = reader.member("items").text(0, FrameItemsLimit);
    result.executions = reader.member("executions").integer32();
    result.upstream = reader.member("upstream").text(0, NameLimit);
    result.configRevision = reader.member("config_revision").integer();
    return result;
}

Cancel readCancel(const JsonReader &reader)
{
    Cancel cancel;
    cancel.batchId = reader.member("batch_id").integer();
    reader.member("shards").forEach(
            [&](const JsonReader &row) { cancel.shards.push_back(row.name()); });
    return cancel;
}

FrameMessage readMessage(const JsonReader &reader)
{
    const auto type = reader.member("type");
    const auto name = type.text();
    if (name == "hello")
        return readHello(reader);
    if (name == "batch")
        return readBatch(reader);
    if (name == "sub_result")
        return readSubResult(reader);
    if (name == "cancel")
        return readCancel(reader);
    if (name != "heartbeat")
        type.fail(ProtocolErrorCode::UnknownType, "is not a valid frame type");
    return Heartbeat{reader.member("sequence").integer()};
}

} // namespace

std::string encodeFrameJson(const FrameMessage &message)
{
    return serializeJson(
            std::visit([](const auto &content) { return toObject(content); }, message));
}

ProtocolResult<FrameMessage> decodeFrameJson(std::string_view text)
{
    return decodeJson<FrameMessage>(text, readMessage);
}

} // namespace persimmon::protocol
