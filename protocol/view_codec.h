#pragma once

#include "protocol/view_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

/// JSON text of the parameters and results of the JSON-RPC method `exchange`.
std::string encodeViewRequest(const ViewRequest &request);
ProtocolResult<ViewRequest> decodeViewRequest(std::string_view text);

std::string encodeViewResponse(const ViewResponse &reply);
ProtocolResult<ViewResponse> decodeViewResponse(std::string_view text);

} // namespace persimmon::protocol
