#pragma once

#include <cstdint>
#include <string>

namespace persimmon::standin {

/// @return the path of a request target such as "/v1/config?since=3".
std::string targetPath(const std::string &target);

/// @return the decoded query parameter @p name of the target, or "" if it is missing.
std::string targetParameter(const std::string &target, const std::string &name);

/// @return the query parameter @p name as a number, or 0 if it is missing or not a number.
std::uint64_t targetNumber(const std::string &target, const std::string &name);

} // namespace persimmon::standin
