#pragma once

#include <cstddef>
#include <string_view>

namespace persimmon::forward {

/// First characters of the status line of all versions that upstreams speak.
inline constexpr std::string_view StatusLineStart = "HTTP/1.";

/// Length of a version, a space and a status.
inline constexpr std::size_t StatusLineStartBytes = 12;

/// @return whether @p text begins with a version and a status, or, if it is shorter than these, may
///         be continued to them.
bool mayBeginStatusLine(std::string_view text);

/// @return whether @p text contains a version and a status.
bool containsStatusLine(std::string_view text);

} // namespace persimmon::forward
