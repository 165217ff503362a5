#pragma once

#include "protocol/json_reader.h"
#include "protocol/platform_messages.h"

namespace persimmon::protocol {

/// @return @p hosts as a JSON array, in the format of the host list and of the view exchange.
boost::json::array hostsArray(const std::vector<HostRecord> &hosts);

HostRecord readHost(const JsonReader &reader);

/// Reads a JSON array of hosts.
std::vector<HostRecord> readHosts(const JsonReader &reader);

} // namespace persimmon::protocol
