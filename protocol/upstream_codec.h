#pragma once

#include "protocol/upstream_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

std::string encodeExecuteRequest(const ExecuteRequest &request);
ProtocolResult<ExecuteRequest> decodeExecuteRequest(std::string_view body);

/// @return the body of a response; its HTTP status is executeStatus().
std::string encodeExecuteResponse(const ExecuteResponse &response);

/// @param status HTTP status of the response; an error unless 200, 400, 409 or 503.
ProtocolResult<ExecuteResponse> decodeExecuteResponse(int status, std::string_view body);

/// @return the HTTP status of @p response.
int executeStatus(const ExecuteResponse &response);

std::string encodeCancelExecution(const CancelExecution &cancel);
ProtocolResult<CancelExecution> decodeCancelExecution(std::string_view body);

} // namespace persimmon::protocol
