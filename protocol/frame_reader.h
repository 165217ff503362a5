#pragma once

#include "protocol/protocol_error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Reads MessagePack values from untrusted bytes. Each read checks the type and length first. After
/// the first error, all reads return default values.
class FrameReader
{
public:
    explicit FrameReader(std::string_view payload);

    /// Reads the header of an array.
    /// @return the number of elements, at most @p max and the number of remaining bytes.
    std::uint32_t array(std::uint32_t max);

    /// Reads the header of an array that must have @p count elements.
    void arrayOfSize(std::uint32_t count);

    /// @return an integer from 0 to @p max.
    std::uint64_t integer(std::uint64_t max);
    /// @return a finite number from @p min to @p max.
    double number(double min, double max);
    bool boolean();
    /// @return a string of @p min to @p max bytes.
    std::string text(std::size_t min, std::size_t max);

    /// Records an error unless one is already recorded.
    void fail(ProtocolErrorCode code, std::string message);

    /// @return whether all bytes have been read.
    bool isAtEnd() const { return cursor_ == end_; }

    const std::optional<ProtocolError> &error() const { return error_; }

private:
    /// Records an error unless a value of @p type (an mp_type) starts at the cursor.
    /// @param name type in the error message.
    /// @return whether such a value starts there.
    bool expectType(int type, const char *name);
    /// Records an error unless the header of the value is complete.
    /// @param missing number of missing bytes, as returned by the mp_check functions.
    /// @return whether the header is complete.
    bool checkHeader(std::ptrdiff_t missing);

    const char *cursor_;
    const char *end_;
    std::optional<ProtocolError> error_;
};

} // namespace persimmon::protocol
