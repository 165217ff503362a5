#pragma once

#include "core/core.h"

#include <string>

namespace persimmon::protocol {

/// Reason why a message could not be decoded.
enum class ProtocolErrorCode {
    Malformed,
    MissingField,
    InvalidValue,
    UnknownType,
    TooLarge,
};

inline constexpr std::array<EnumName<ProtocolErrorCode>, 5> ProtocolErrorNames{{
        {ProtocolErrorCode::Malformed, "malformed"},
        {ProtocolErrorCode::MissingField, "missing_field"},
        {ProtocolErrorCode::InvalidValue, "invalid_value"},
        {ProtocolErrorCode::UnknownType, "unknown_type"},
        {ProtocolErrorCode::TooLarge, "too_large"},
}};

/// Error of the protocol layer.
struct ProtocolError
{
    ProtocolErrorCode code = ProtocolErrorCode::Malformed;
    std::string message;

    bool operator==(const ProtocolError &) const = default;
};

template <typename Value>
using ProtocolResult = Result<Value, ProtocolError>;

} // namespace persimmon::protocol
