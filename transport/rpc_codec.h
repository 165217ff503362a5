#pragma once

#include <json/value.h>

#include <string>

namespace persimmon {
namespace transport {

/// @return the JSON-RPC 2.0 request that calls @p method with named @p parameters.
std::string buildRpcRequest(const std::string &method, const Json::Value &parameters);

/// Reads the response to a request made by buildRpcRequest().
/// @param result receives the result.
/// @param fault receives the reason when there is no result.
/// @return whether the response holds a result.
bool readRpcResponse(const std::string &method, const std::string &body, Json::Value &result,
                     std::string &fault);

} // namespace transport
} // namespace persimmon
