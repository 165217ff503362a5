#pragma once

#include <string_view>

namespace persimmon::forward {

/// Header fields of requests that hosts pass on to each other, and of their responses. Requests and
/// responses of others never contain them.

/// Milliseconds since the passing host received the request.
inline constexpr std::string_view PeerAgeField = "Persimmon-Age-Ms";
/// Version of the configuration that the sending host applied, in requests and responses.
inline constexpr std::string_view PeerConfigField = "Persimmon-Config";
/// Present in a response if the host refused the request for a reason of its own, so that another
/// host may serve it.
inline constexpr std::string_view PeerRefusalField = "Persimmon-Refusal";

} // namespace persimmon::forward
