#pragma once

#include "protocol/json_reader.h"
#include "protocol/platform_messages.h"

namespace persimmon::protocol {

/// @return the JSON array of @p hosts, as the host list and the view exchange have it.
boost::json::array hostsArray(const std::vector<HostRecord> &hosts);

/// @return the hosts of a JSON array.
std::vector<HostRecord> readHosts(const JsonReader &reader);

} // namespace persimmon::protocol
