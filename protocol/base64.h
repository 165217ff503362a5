#pragma once

#include <optional>
#include <string>

namespace persimmon::protocol {

/// Encodes @p bytes as standard base64 with padding.
std::string encodeBase64(const std::string &bytes);

/// Decodes standard base64 with padding.
/// @return the bytes, or std::nullopt if @p text is not valid base64.
std::optional<std::string> decodeBase64(const std::string &text);

} // namespace persimmon::protocol
