#pragma once

#include "protocol/view_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

// Parameters and result of the JSON-RPC method `exchange` as JSON text.
std::string encodeViewRequest(const ViewRequest &request);
ProtocolResult<ViewRequest> decodeViewRequest(std::string_view text);

std::string encodeViewResponse(const ViewResponse &response);
ProtocolResult<ViewResponse> decodeViewResponse(std::string_view text);

} // namespace persimmon::protocol
