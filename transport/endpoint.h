#pragma once

#include "transport/transport_error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace persimmon::transport {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses "IP:port", for example "127.0.1.3:7100". Host names are not resolved.
/// @return the endpoint, or AddressInvalid.
TransportResult<Endpoint> parseEndpoint(std::string_view text);

/// @return @p endpoint as "IP:port".
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace persimmon::transport
