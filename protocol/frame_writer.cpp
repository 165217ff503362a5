#include "protocol/frame_writer.h"

#include <msgpuck.h>

#include <array>

namespace persimmon::protocol {

namespace {

/// Largest head of a MessagePack value: a type byte and 8 bytes.
constexpr std::size_t LargestHead = 9;
using Head = std::array<char, LargestHead>;

} // namespace

void FrameWriter::array(std::size_t count)
{
    Head head;
    payload_.append(head.data(), mp_encode_array(head.data(), static_cast<std::uint32_t>(count)));
}

void FrameWriter::integer(std::uint64_t number)
{
    Head head;
    payload_.append(head.data(), mp_encode_uint(head.data(), number));
}

void FrameWriter::number(double number)
{
    Head head;
    payload_.append(head.data(), mp_encode_double(head.data(), number));
}

void FrameWriter::boolean(bool value)
{
    Head head;
    payload_.append(head.data(), mp_encode_bool(head.data(), value));
}

void FrameWriter::text(std::string_view text)
{
    Head head;
    payload_.append(head.data(),
                    mp_encode_strl(head.data(), static_cast<std::uint32_t>(text.size())));
    payload_.append(text);
}

} // namespace persimmon::protocol
