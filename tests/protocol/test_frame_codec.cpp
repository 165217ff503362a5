#include "protocol/protocol.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::protocol;

namespace {

std::string drawText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

std::string drawName()
{
    return "n" + drawText();
}

std::uint64_t drawInteger()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

Batch drawBatch()
{
    Batch batch;
    batch.batchId = drawInteger();
    batch.requestId = drawText();
    batch.group = drawText();
    batch.snapshot = drawInteger();
    batch.configRevision = drawInteger();
    batch.timeLeft = std::chrono::microseconds(*rc::gen::inRange(0, 1'000'000));
    batch.priority = *rc::gen::element(Priority::Critical, Priority::Bulk);
    batch.repeatable = *rc::gen::arbitrary<bool>();
    batch.extraLoad = *rc::gen::inRange(0, 50) / 100.0;
    batch.fingerprint = drawInteger();
    batch.canary = *rc::gen::arbitrary<bool>();
    batch.query = drawText();
    batch.key = drawText();
    const auto count = *rc::gen::inRange(0, 90);
    for (int index = 0; index < count; ++index)
        batch.subRequests.push_back({drawName(), drawName()});
    return batch;
}

FrameMessage drawMessage()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return Hello{1, drawText(), drawInteger(), drawInteger()};
    case 1:
        return Heartbeat{drawInteger()};
    case 2:
        return SubResult{
                drawInteger(), drawText(), drawInteger(), SubOutcome::Unknown, SubError::Malformed,
                drawText(),    7,          drawText(),    drawInteger()};
    case 3:
        return Cancel{drawInteger(), {drawName(), drawName()}};
    default:
        return drawBatch();
    }
}

ProtocolErrorCode codeOf(std::string_view payload)
{
    const auto result = decodeFrame(payload);
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).code;
}

} // namespace

// Guards against a field that one codec writes and the other side drops, reorders or truncates,
// and against a cut frame that is taken for a shorter message.
TEST_CASE("frames survive both codecs and no proper prefix decodes")
{
    CHECK(rc::check([] {
        const auto message = drawMessage();
        const auto payload = encodeFrame(message);
        const auto decoded = decodeFrame(payload);
        RC_ASSERT(isOk(decoded));
        RC_ASSERT(valueOf(decoded) == message);
        const auto decodedJson = decodeFrameJson(encodeFrameJson(message));
        RC_ASSERT(isOk(decodedJson));
        RC_ASSERT(valueOf(decodedJson) == message);
        const auto cut = *rc::gen::inRange<std::size_t>(0, payload.size());
        RC_ASSERT_FALSE(isOk(decodeFrame(std::string_view(payload).substr(0, cut))));
        RC_ASSERT_FALSE(isOk(decodeFrame(payload + '\0')));
    }));
}

// Guards against over-reads and huge allocations by sizes that the payload does not contain. The
// first two arrays make the pending count of mp_check overflow, so that only the reader's own check
// (InvalidValue) refuses them.
TEST_CASE("frames with false sizes are refused")
{
    using namespace std::string_literals;
    CHECK(codeOf("\xdd\xff\xff\xff\xff"s) == ProtocolErrorCode::InvalidValue);
    CHECK(codeOf("\x93\x05\x01\xdd\xff\xff\xff\xff"s) == ProtocolErrorCode::InvalidValue);
    CHECK_FALSE(isOk(decodeFrame("\x95\x01\x01\xdb\xff\xff\xff\xff\x01\x01"s)));
    CHECK_FALSE(isOk(decodeFrame("\x92\xdd\xff\xff\xff\xff\x02"s)));
    CHECK_FALSE(isOk(decodeFrame("\x93\x05\x01\xdd\x7f\xff\xff\xff"s)));
}

// Guards against enumerators outside their table, which later switches would not handle.
TEST_CASE("frames of unknown types or with values out of range are refused")
{
    CHECK(codeOf("\x92\x09\x01") == ProtocolErrorCode::UnknownType);
    CHECK(codeOf("\x93\x02\x01\x01") == ProtocolErrorCode::InvalidValue);
    CHECK(codeOf("\x92\x02\xa1x") == ProtocolErrorCode::Malformed);
    CHECK(codeOf("") == ProtocolErrorCode::Malformed);
    SubResult result;
    result.error = static_cast<SubError>(SubErrorNames.size());
    CHECK(codeOf(encodeFrame(result)) == ProtocolErrorCode::InvalidValue);
    Batch batch;
    batch.extraLoad = std::numeric_limits<double>::quiet_NaN();
    CHECK(codeOf(encodeFrame(batch)) == ProtocolErrorCode::InvalidValue);
    batch.extraLoad = 0;
    batch.timeLeft = std::chrono::microseconds(-5);
    const auto late = decodeFrame(encodeFrame(batch));
    REQUIRE(isOk(late));
    CHECK(std::get<Batch>(valueOf(late)).timeLeft.count() == 0);
}
