#pragma once

#include "protocol/protocol_error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Reads MessagePack values from bytes that may be hostile. Each read checks type and length first.
/// After the first fault all reads return defaults.
class FrameReader
{
public:
    explicit FrameReader(std::string_view payload);

    /// Reads the head of an array.
    /// @return its element count, which never exceeds the bytes left or @p most.
    std::uint32_t array(std::uint32_t most);

    /// Reads the head of an array that must have @p count elements.
    void arrayOf(std::uint32_t count);

    std::uint64_t integer(std::uint64_t most);
    /// @return a finite number from @p least to @p most.
    double number(double least, double most);
    bool boolean();
    /// @return a string of @p least to @p most bytes.
    std::string text(std::size_t least, std::size_t most);

    /// Records a fault unless there is one already.
    void fail(ProtocolErrorCode code, std::string message);

    /// @return whether all bytes were read.
    bool isAtEnd() const { return cursor_ == end_; }

    const std::optional<ProtocolError> &fault() const { return fault_; }

private:
    /// @return whether a value of @p type (an mp_type) begins at the cursor.
    bool expect(int type, const char *name);
    bool checkHead(std::ptrdiff_t missing);

    const char *cursor_;
    const char *end_;
    std::optional<ProtocolError> fault_;
};

} // namespace persimmon::protocol
