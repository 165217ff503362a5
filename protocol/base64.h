#pragma once

#include <optional>
#include <string>

namespace persimmon::protocol {

/// @return standard base64 with padding.
std::string encodeBase64(const std::string &bytes);

/// @param text standard base64 with padding.
/// @return the bytes, or nothing if it is no base64.
std::optional<std::string> decodeBase64(const std::string &text);

} // namespace persimmon::protocol
