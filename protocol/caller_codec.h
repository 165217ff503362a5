#pragma once

#include "protocol/caller_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Reads the body of POST /v1/query. Unknown members are refused, so that a misspelt one is seen.
/// @return the request with its query in canonical form, or the path and reason of the fault.
ProtocolResult<QueryRequest> decodeQueryRequest(std::string_view body);

/// @return the body of POST /v1/query.
std::string encodeQueryRequest(const QueryRequest &request);

/// @return the JSON body of @p answer. The field `executions` is always present.
std::string encodeQueryResponse(const QueryResponse &answer);

/// @return the answer, or the reason why the text holds none.
ProtocolResult<QueryResponse> decodeQueryResponse(std::string_view body);

/// @return the JSON body of a locate answer.
std::string encodeLocateResponse(const LocateResponse &answer);

/// @return the answer, or the reason why the text holds none.
ProtocolResult<LocateResponse> decodeLocateResponse(std::string_view body);

/// @return the HTTP status that goes with @p answer: 200 when done, else that of its error.
int httpStatus(const QueryResponse &answer);

/// Makes an answer without items from an error of the table.
QueryResponse makeErrorResponse(CallerError error, std::string message);

} // namespace persimmon::protocol
