#pragma once

#include <cstddef>
#include <string>

namespace persimmon {
namespace transport {

/// Maximum nesting depth of the JSON texts that the JSON-RPC library receives. It parses
/// recursively and throws exceptions that end the process where a deeper text is nested.
constexpr std::size_t MaxRpcJsonDepth = 128;

/// @return whether arrays and objects of a JSON text are nested deeper than @p maxDepth.
bool isNestedDeeper(const std::string &text, std::size_t maxDepth);

} // namespace transport
} // namespace persimmon
