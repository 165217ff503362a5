#pragma once

#include "core/core.h"

#include <string>

namespace persimmon::dispatch {

/// Why an execution on an upstream returned no usable reply.
enum class DispatchErrorCode {
    AddressInvalid,
    ConnectFailed,
    ConnectionLost,
    Timeout,
    Cancelled,
    MalformedReply,
    MismatchedAnswer,
};

inline constexpr std::array<EnumName<DispatchErrorCode>, 7> DispatchErrorNames{{
        {DispatchErrorCode::AddressInvalid, "address_invalid"},
        {DispatchErrorCode::ConnectFailed, "connect_failed"},
        {DispatchErrorCode::ConnectionLost, "connection_lost"},
        {DispatchErrorCode::Timeout, "timeout"},
        {DispatchErrorCode::Cancelled, "cancelled"},
        {DispatchErrorCode::MalformedReply, "malformed_reply"},
        {DispatchErrorCode::MismatchedAnswer, "mismatched_answer"},
}};

/// Error of the dispatch layer.
struct DispatchError
{
    DispatchErrorCode code = DispatchErrorCode::ConnectionLost;
    std::string message;
    /// False only if no byte of the request has left this process; true if one may have.
    bool written = false;
};

} // namespace persimmon::dispatch
