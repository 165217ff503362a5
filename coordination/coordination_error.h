#pragma once

#include "protocol/protocol_error.h"
#include "transport/transport_error.h"

namespace persimmon::coordination {

/// Reason why a request to the configuration service or to a peer failed.
enum class CoordinationErrorCode {
    Unreachable,
    InvalidAnswer,
};

inline constexpr std::array<EnumName<CoordinationErrorCode>, 2> CoordinationErrorNames{{
        {CoordinationErrorCode::Unreachable, "unreachable"},
        {CoordinationErrorCode::InvalidAnswer, "invalid_answer"},
}};

/// Error of the coordination layer.
struct CoordinationError
{
    CoordinationErrorCode code = CoordinationErrorCode::Unreachable;
    std::string message;
};

template <typename Value>
using CoordinationResult = Result<Value, CoordinationError>;

inline CoordinationError toCoordinationError(const transport::TransportError &error)
{
    return {CoordinationErrorCode::Unreachable, error.message};
}

inline CoordinationError toCoordinationError(const protocol::ProtocolError &error)
{
    return {CoordinationErrorCode::InvalidAnswer, error.message};
}

} // namespace persimmon::coordination
