#pragma once

namespace persimmon::forward {

/// Statuses of responses that this tier makes or interprets.
inline constexpr int NotFoundStatus = 404;
inline constexpr int RequestTimeoutStatus = 408;
inline constexpr int MisdirectedRequestStatus = 421;
inline constexpr int TooManyRequestsStatus = 429;
inline constexpr int BadGatewayStatus = 502;
inline constexpr int ServiceUnavailableStatus = 503;
inline constexpr int GatewayTimeoutStatus = 504;

/// @return whether @p status tells the caller that no upstream has executed the request or will.
constexpr bool statesNotExecuted(int status)
{
    return status == RequestTimeoutStatus || status == MisdirectedRequestStatus
           || status == TooManyRequestsStatus || status == ServiceUnavailableStatus;
}

} // namespace persimmon::forward
