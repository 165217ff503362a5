#pragma once

#include "protocol/platform_messages.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

std::string encodeConfigReply(const ConfigReply &reply);
ProtocolResult<ConfigReply> decodeConfigReply(std::string_view body);

std::string encodeHostsReply(const HostsReply &reply);
ProtocolResult<HostsReply> decodeHostsReply(std::string_view body);

} // namespace persimmon::protocol
