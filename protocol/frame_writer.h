#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Appends MessagePack values to a payload.
class FrameWriter
{
public:
    void array(std::size_t count);
    void integer(std::uint64_t number);
    void number(double number);
    void boolean(bool value);
    void text(std::string_view text);

    /// Moves the payload out of the writer.
    std::string take() { return std::move(payload_); }

private:
    std::string payload_;
};

} // namespace persimmon::protocol
