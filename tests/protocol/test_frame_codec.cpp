#include "protocol/protocol.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::protocol;

namespace {

std::string generateText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

std::string generateName()
{
    return "n" + generateText();
}

std::uint64_t generateInteger()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

Batch generateBatch()
{
    Batch batch;
    batch.batchId = generateInteger();
    batch.requestId = generateText();
    batch.group = generateText();
    batch.snapshot = generateInteger();
    batch.configRevision = generateInteger();
    batch.timeLeft = std::chrono::microseconds(*rc::gen::inRange(0, 1'000'000));
    batch.priority = *rc::gen::element(Priority::Critical, Priority::Bulk);
    batch.repeatable = *rc::gen::arbitrary<bool>();
    batch.extraLoad = *rc::gen::inRange(0, 50) / 100.0;
    batch.fingerprint = generateInteger();
    batch.canary = *rc::gen::arbitrary<bool>();
    batch.query = generateText();
    batch.key = generateText();
    const auto count = *rc::gen::inRange(0, 90);
    for (int index = 0; index < count; ++index)
        batch.subRequests.push_back({generateName(), generateName()});
    return batch;
}

FrameMessage generateMessage()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return Hello{1, generateText(), generateInteger(), generateInteger()};
    case 1:
        return Heartbeat{generateInteger()};
    case 2:
        return SubResult{generateInteger(),
                         generateText(),
                         generateInteger(),
                         SubOutcome::Unknown,
                         SubError::Malformed,
                         generateText(),
                         7,
                         generateText(),
                         generateInteger()};
    case 3:
        return Cancel{generateInteger(), {generateName(), generateName()}};
    default:
        return generateBatch();
    }
}

ProtocolErrorCode decodeErrorCode(std::string_view payload)
{
    const auto result = decodeFrame(payload);
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).code;
}

} // namespace

// Guards against a field that is lost, reordered or truncated between encoder and decoder, and
// against a truncated frame that is decoded as a shorter message.
TEST_CASE("frames are preserved by both codecs and truncated frames are rejected")
{
    CHECK(rc::check([] {
        const auto message = generateMessage();
        const auto payload = encodeFrame(message);
        const auto decoded = decodeFrame(payload);
        RC_ASSERT(isOk(decoded));
        RC_ASSERT(valueOf(decoded) == message);
        const auto decodedJson = decodeFrameJson(encodeFrameJson(message));
        RC_ASSERT(isOk(decodedJson));
        RC_ASSERT(valueOf(decodedJson) == message);
        const auto prefixSize = *rc::gen::inRange<std::size_t>(0, payload.size());
        RC_ASSERT_FALSE(isOk(decodeFrame(std::string_view(payload).substr(0, prefixSize))));
        RC_ASSERT_FALSE(isOk(decodeFrame(payload + '\0')));
    }));
}

// Guards against out-of-bounds reads and large allocations caused by sizes that exceed the payload.
// The first two arrays make the element counter of mp_check overflow, so that only the check in
// FrameReader (InvalidValue) rejects them.
TEST_CASE("frames with sizes that exceed the payload are rejected")
{
    using namespace std::string_literals;
    CHECK(decodeErrorCode("\xdd\xff\xff\xff\xff"s) == ProtocolErrorCode::InvalidValue);
    CHECK(decodeErrorCode("\x93\x05\x01\xdd\xff\xff\xff\xff"s) == ProtocolErrorCode::InvalidValue);
    CHECK_FALSE(isOk(decodeFrame("\x95\x01\x01\xdb\xff\xff\xff\xff\x01\x01"s)));
    CHECK_FALSE(isOk(decodeFrame("\x92\xdd\xff\xff\xff\xff\x02"s)));
    CHECK_FALSE(isOk(decodeFrame("\x93\x05\x01\xdd\x7f\xff\xff\xff"s)));
}

// Guards against enumerators outside their name table, which switch statements do not handle.
TEST_CASE("frames with an unknown type or values out of range are rejected")
{
    CHECK(decodeErrorCode("\x92\x09\x01") == ProtocolErrorCode::UnknownType);
    CHECK(decodeErrorCode("\x93\x02\x01\x01") == ProtocolErrorCode::InvalidValue);
    CHECK(decodeErrorCode("\x92\x02\xa1x") == ProtocolErrorCode::Malformed);
    CHECK(decodeErrorCode("") == ProtocolErrorCode::Malformed);
    SubResult result;
    result.error = static_cast<SubError>(SubErrorNames.size());
    CHECK(decodeErrorCode(encodeFrame(result)) == ProtocolErrorCode::InvalidValue);
    Batch batch;
    batch.extraLoad = std::numeric_limits<double>::quiet_NaN();
    CHECK(decodeErrorCode(encodeFrame(batch)) == ProtocolErrorCode::InvalidValue);
    batch.extraLoad = 0;
    batch.timeLeft = std::chrono::microseconds(-5);
    const auto expired = decodeFrame(encodeFrame(batch));
    REQUIRE(isOk(expired));
    CHECK(std::get<Batch>(valueOf(expired)).timeLeft.count() == 0);
}
