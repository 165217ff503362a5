#pragma once

#include "protocol/platform_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

std::string encodeConfigResponse(const ConfigResponse &response);
ProtocolResult<ConfigResponse> decodeConfigResponse(std::string_view body);

std::string encodeHostsResponse(const HostsResponse &response);
ProtocolResult<HostsResponse> decodeHostsResponse(std::string_view body);

} // namespace persimmon::protocol
