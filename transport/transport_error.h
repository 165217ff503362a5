#pragma once

#include "core/core.h"

#include <string>

namespace persimmon::transport {

/// Failure below the protocol layer.
enum class TransportErrorCode {
    AddressInvalid,
    BindFailed,
    ConnectFailed,
    ConnectionLost,
    Timeout,
    Malformed,
    TooLarge,
    Closed,
};

inline constexpr std::array<EnumName<TransportErrorCode>, 8> TransportErrorNames{{
        {TransportErrorCode::AddressInvalid, "address_invalid"},
        {TransportErrorCode::BindFailed, "bind_failed"},
        {TransportErrorCode::ConnectFailed, "connect_failed"},
        {TransportErrorCode::ConnectionLost, "connection_lost"},
        {TransportErrorCode::Timeout, "timeout"},
        {TransportErrorCode::Malformed, "malformed"},
        {TransportErrorCode::TooLarge, "too_large"},
        {TransportErrorCode::Closed, "closed"},
}};

/// Error of the transport layer.
struct TransportError
{
    TransportErrorCode code = TransportErrorCode::ConnectionLost;
    std::string message;
    /// Whether any byte of the request may have been sent. False guarantees that none was.
    bool written = false;
};

template <typename Value>
using TransportResult = Result<Value, TransportError>;

} // namespace persimmon::transport
