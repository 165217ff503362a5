#include "protocol/frame_writer.h"

#include <msgpuck.h>

#include <array>

namespace persimmon::protocol {

namespace {

/// Maximum size of the header of a MessagePack value: a type byte and 8 bytes.
constexpr std::size_t MaxHeaderBytes = 9;
using HeaderBuffer = std::array<char, MaxHeaderBytes>;

} // namespace

void FrameWriter::array(std::size_t count)
{
    HeaderBuffer header;
    payload_.append(header.data(),
                    mp_encode_array(header.data(), static_cast<std::uint32_t>(count)));
}

void FrameWriter::integer(std::uint64_t number)
{
    HeaderBuffer header;
    payload_.append(header.data(), mp_encode_uint(header.data(), number));
}

void FrameWriter::number(double number)
{
    HeaderBuffer header;
    payload_.append(header.data(), mp_encode_double(header.data(), number));
}

void FrameWriter::boolean(bool value)
{
    HeaderBuffer header;
    payload_.append(header.data(), mp_encode_bool(header.data(), value));
}

void FrameWriter::text(std::string_view text)
{
    HeaderBuffer header;
    payload_.append(header.data(),
                    mp_encode_strl(header.data(), static_cast<std::uint32_t>(text.size())));
    payload_.append(text);
}

} // namespace persimmon::protocol
