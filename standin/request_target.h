#pragma once

#include <cstdint>
#include <string>

namespace persimmon::standin {

/// @return the path of a request target such as "/v1/config?since=3".
std::string targetPath(const std::string &target);

/// @return the parameter @p name of the target's query string, decoded, or "".
std::string targetParameter(const std::string &target, const std::string &name);

/// @return the parameter as a number, or 0.
std::uint64_t targetNumber(const std::string &target, const std::string &name);

} // namespace persimmon::standin
