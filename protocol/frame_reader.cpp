#include "protocol/frame_reader.h"

#include <msgpuck.h>

#include <cmath>

namespace persimmon::protocol {

FrameReader::FrameReader(std::string_view payload)
    : cursor_(payload.data()),
      end_(payload.data() + payload.size())
{
    // mp_check counts pending elements in an int that a large array can overflow. It rejects most
    // malformed payloads early, but every read still checks its own bounds.
    const char *checked = cursor_;
    if (payload.empty() || mp_check(&checked, end_) != 0 || checked != end_)
        fail(ProtocolErrorCode::Malformed, "the payload is not a single MessagePack value");
}

bool FrameReader::expectType(int type, const char *name)
{
    if (error_)
        return false;
    if (cursor_ < end_ && mp_typeof(*cursor_) == type)
        return true;
    fail(ProtocolErrorCode::Malformed, std::string("expected ") + name);
    return false;
}

bool FrameReader::checkHeader(std::ptrdiff_t missing)
{
    if (missing <= 0)
        return true;
    fail(ProtocolErrorCode::Malformed, "the payload is cut off");
    return false;
}

std::uint32_t FrameReader::array(std::uint32_t max)
{
    if (!expectType(MP_ARRAY, "an array") || !checkHeader(mp_check_array(cursor_, end_)))
        return 0;
    const auto count = mp_decode_array(&cursor_);
    // Each element occupies at least one byte, so a larger count exceeds the payload.
    if (count <= max && count <= static_cast<std::size_t>(end_ - cursor_))
        return count;
    fail(ProtocolErrorCode::InvalidValue, "an array has too many elements");
    return 0;
}

void FrameReader::arrayOfSize(std::uint32_t count)
{
    if (array(count) != count)
        fail(ProtocolErrorCode::InvalidValue, "an array has the wrong number of elements");
}

std::uint64_t FrameReader::integer(std::uint64_t max)
{
    if (!expectType(MP_UINT, "an unsigned integer") || !checkHeader(mp_check_uint(cursor_, end_)))
        return 0;
    const auto number = mp_decode_uint(&cursor_);
    if (number <= max)
        return number;
    fail(ProtocolErrorCode::InvalidValue, "an integer is out of range");
    return 0;
}

double FrameReader::number(double min, double max)
{
    if (!expectType(MP_DOUBLE, "a double") || !checkHeader(mp_check_double(cursor_, end_)))
        return min;
    const auto number = mp_decode_double(&cursor_);
    if (std::isfinite(number) && number >= min && number <= max)
        return number;
    fail(ProtocolErrorCode::InvalidValue, "a number is out of range");
    return min;
}

bool FrameReader::boolean()
{
    if (!expectType(MP_BOOL, "a boolean"))
        return false;
    return mp_decode_bool(&cursor_);
}

std::string FrameReader::text(std::size_t min, std::size_t max)
{
    if (!expectType(MP_STR, "a string") || !checkHeader(mp_check_strl(cursor_, end_)))
        return {};
    const std::size_t size = mp_decode_strl(&cursor_);
    if (size > static_cast<std::size_t>(end_ - cursor_)) {
        fail(ProtocolErrorCode::Malformed, "the payload is cut off");
        return {};
    }
    if (size < min || size > max) {
        fail(ProtocolErrorCode::InvalidValue, "a string has a length out of range");
        return {};
    }
    std::string text(cursor_, size);
    cursor_ += size;
    return text;
}

void FrameReader::fail(ProtocolErrorCode code, std::string message)
{
    if (!error_)
        error_ = ProtocolError{code, std::move(message)};
}

} // namespace persimmon::protocol
