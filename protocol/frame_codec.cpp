#include "protocol/frame_codec.h"

#include "protocol/frame_limits.h"
#include "protocol/frame_reader.h"
#include "protocol/frame_writer.h"
#include "protocol/json_reader.h"

#include <algorithm>
#include <limits>

namespace persimmon::protocol {

namespace {

constexpr auto MaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr auto MaxUint32 = std::numeric_limits<std::uint32_t>::max();

/// Type of a message, sent as the first element of its array. The numbers are part of the protocol.
enum class FrameType : std::uint64_t { Hello = 1, Heartbeat, Batch, SubResult, Cancel };

// Number of elements in each message's array, including the type.
constexpr std::uint32_t HelloElements = 5;
constexpr std::uint32_t HeartbeatElements = 2;
constexpr std::uint32_t BatchElements = 15;
constexpr std::uint32_t SubRequestElements = 2;
constexpr std::uint32_t SubResultElements = 10;
constexpr std::uint32_t CancelElements = 3;

void beginMessage(FrameWriter &writer, std::uint32_t elements, FrameType type)
{
    writer.array(elements);
    writer.integer(static_cast<std::uint64_t>(type));
}

/// Writes an enumerator as its index in the name table.
template <typename Enum>
void writeEnum(FrameWriter &writer, Enum value)
{
    writer.integer(static_cast<std::uint64_t>(value));
}

template <typename Enum, std::size_t Size>
Enum readEnum(FrameReader &reader, const std::array<EnumName<Enum>, Size> & /*table*/)
{
    return static_cast<Enum>(reader.integer(Size - 1));
}

void write(FrameWriter &writer, const Hello &hello)
{
    beginMessage(writer, HelloElements, FrameType::Hello);
    writer.integer(hello.version);
    writer.text(hello.host);
    writer.integer(hello.incarnation);
    writer.integer(hello.configRevision);
}

void write(FrameWriter &writer, const Heartbeat &heartbeat)
{
    beginMessage(writer, HeartbeatElements, FrameType::Heartbeat);
    writer.integer(heartbeat.sequence);
}

void write(FrameWriter &writer, const Batch &batch)
{
    beginMessage(writer, BatchElements, FrameType::Batch);
    writer.integer(batch.batchId);
    writer.text(batch.requestId);
    writer.text(batch.group);
    writer.integer(batch.snapshot);
    writer.integer(batch.configRevision);
    writer.integer(static_cast<std::uint64_t>(
            std::clamp(batch.timeLeft, std::chrono::microseconds(0), FrameTimeLimit).count()));
    writeEnum(writer, batch.priority);
    writer.boolean(batch.repeatable);
    writer.number(batch.extraLoad);
    writer.integer(batch.fingerprint);
    writer.boolean(batch.canary);
    writer.text(batch.query);
    writer.text(batch.key);
    writer.array(batch.subRequests.size());
    for (const auto &subRequest : batch.subRequests) {
        writer.array(SubRequestElements);
        writer.text(subRequest.shard);
        writer.text(subRequest.service);
    }
}

void write(FrameWriter &writer, const SubResult &result)
{
    beginMessage(writer, SubResultElements, FrameType::SubResult);
    writer.integer(result.batchId);
    writer.text(result.shard);
    writer.integer(result.snapshot);
    writeEnum(writer, result.outcome);
    writeEnum(writer, result.error);
    writer.text(result.items);
    writer.integer(result.executions);
    writer.text(result.upstream);
    writer.integer(result.configRevision);
}

void write(FrameWriter &writer, const Cancel &cancel)
{
    beginMessage(writer, CancelElements, FrameType::Cancel);
    writer.integer(cancel.batchId);
    writer.array(cancel.shards.size());
    for (const auto &shard : cancel.shards)
        writer.text(shard);
}

Hello readHello(FrameReader &reader)
{
    Hello hello;
    hello.version = static_cast<std::uint32_t>(reader.integer(MaxUint32));
    hello.host = reader.text(0, NameLimit);
    hello.incarnation = reader.integer(MaxUint64);
    hello.configRevision = reader.integer(MaxUint64);
    return hello;
}

Batch readBatch(FrameReader &reader)
{
    Batch batch;
    batch.batchId = reader.integer(MaxUint64);
    batch.requestId = reader.text(0, TokenLimit);
    batch.group = reader.text(0, NameLimit);
    batch.snapshot = reader.integer(MaxUint64);
    batch.configRevision = reader.integer(MaxUint64);
    batch.timeLeft = std::chrono::microseconds(
            reader.integer(static_cast<std::uint64_t>(FrameTimeLimit.count())));
    batch.priority = readEnum(reader, PriorityNames);
    batch.repeatable = reader.boolean();
    batch.extraLoad = reader.number(0, FrameExtraLoadLimit);
    batch.fingerprint = reader.integer(MaxUint64);
    batch.canary = reader.boolean();
    batch.query = reader.text(0, FrameQueryLimit);
    batch.key = reader.text(0, TokenLimit);
    const auto count = reader.array(FrameShardLimit);
    for (std::uint32_t index = 0; index < count && !reader.error(); ++index) {
        reader.arrayOfSize(SubRequestElements);
        auto shard = reader.text(1, NameLimit);
        auto service = reader.text(1, NameLimit);
        batch.subRequests.push_back({std::move(shard), std::move(service)});
    }
    return batch;
}

SubResult readSubResult(FrameReader &reader)
{
    SubResult result;
    result.batchId = reader.integer(MaxUint64);
    result.shard = reader.text(0, NameLimit);
    result.snapshot = reader.integer(MaxUint64);
    result.outcome = readEnum(reader, SubOutcomeNames);
    result.error = readEnum(reader, SubErrorNames);
    result.items = reader.text(0, FrameItemsLimit);
    result.executions = static_cast<std::uint32_t>(reader.integer(MaxUint32));
    result.upstream = reader.text(0, NameLimit);
    result.configRevision = reader.integer(MaxUint64);
    return result;
}

Cancel readCancel(FrameReader &reader)
{
    Cancel cancel;
    cancel.batchId = reader.integer(MaxUint64);
    const auto count = reader.array(FrameShardLimit);
    for (std::uint32_t index = 0; index < count && !reader.error(); ++index)
        cancel.shards.push_back(reader.text(1, NameLimit));
    return cancel;
}

FrameMessage readMessage(FrameReader &reader)
{
    const auto elements = reader.array(BatchElements);
    const auto type = reader.integer(MaxUint64);
    const auto checkElementCount = [&](std::uint32_t count) {
        if (elements != count)
            reader.fail(ProtocolErrorCode::InvalidValue,
                        "the frame has the wrong number of elements");
    };
    switch (static_cast<FrameType>(type)) {
    case FrameType::Hello:
        checkElementCount(HelloElements);
        return readHello(reader);
    case FrameType::Heartbeat:
        checkElementCount(HeartbeatElements);
        return Heartbeat{reader.integer(MaxUint64)};
    case FrameType::Batch:
        checkElementCount(BatchElements);
        return readBatch(reader);
    case FrameType::SubResult:
        checkElementCount(SubResultElements);
        return readSubResult(reader);
    case FrameType::Cancel:
        checkElementCount(CancelElements);
        return readCancel(reader);
    }
    reader.fail(ProtocolErrorCode::UnknownType,
                "frame type " + std::to_string(type) + " is unknown");
    return Heartbeat{};
}

} // namespace

std::string encodeFrame(const FrameMessage &message)
{
    FrameWriter writer;
    std::visit([&](const auto &content) { write(writer, content); }, message);
    return writer.take();
}

ProtocolResult<FrameMessage> decodeFrame(std::string_view payload)
{
    FrameReader reader(payload);
    auto message = readMessage(reader);
    if (!reader.error() && !reader.isAtEnd())
        reader.fail(ProtocolErrorCode::Malformed, "bytes follow the message");
    if (reader.error())
        return *reader.error();
    return message;
}

} // namespace persimmon::protocol
