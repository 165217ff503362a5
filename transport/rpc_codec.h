#pragma once

#include <json/value.h>

#include <string>

namespace persimmon {
namespace transport {

/// @return a JSON-RPC 2.0 request that calls @p method with named @p parameters.
std::string buildRpcRequest(const std::string &method, const Json::Value &parameters);

/// Parses the response to a request built by buildRpcRequest().
/// @param result receives the result.
/// @param errorMessage receives the reason when the response contains no result.
/// @return whether the response contains a result.
bool parseRpcResponse(const std::string &method, const std::string &body, Json::Value &result,
                      std::string &errorMessage);

} // namespace transport
} // namespace persimmon
