#pragma once

#include "protocol/caller_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Decodes the body of POST /v1/query. Unknown members are errors, so that a misspelt member is not
/// silently ignored.
/// @return the request with its query in canonical form, or an error with the path of the faulty
///         member and the reason.
ProtocolResult<QueryRequest> decodeQueryRequest(std::string_view body);

/// @return the body of POST /v1/query.
std::string encodeQueryRequest(const QueryRequest &request);

/// @return the JSON body of @p response. The field `executions` is always present.
std::string encodeQueryResponse(const QueryResponse &response);

/// @return the response, or an error if @p body is not a valid query response.
ProtocolResult<QueryResponse> decodeQueryResponse(std::string_view body);

/// @return the JSON body of @p response.
std::string encodeLocateResponse(const LocateResponse &response);

/// @return the response, or an error if @p body is not a valid locate response.
ProtocolResult<LocateResponse> decodeLocateResponse(std::string_view body);

/// @return the HTTP status of @p response: 200 if the outcome is Done, otherwise the status of its
///         error.
int httpStatus(const QueryResponse &response);

/// Creates a response without items for @p error, with the outcome that CallerErrorTable assigns.
QueryResponse makeErrorResponse(CallerError error, std::string message);

} // namespace persimmon::protocol
