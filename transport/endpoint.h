#pragma once

#include "transport/transport_error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace persimmon::transport {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Reads "IP:port", for example "127.0.1.3:7100". Names are not resolved.
/// @return the endpoint, or AddressInvalid.
TransportResult<Endpoint> parseEndpoint(std::string_view text);

/// @return "IP:port".
std::string formatEndpoint(const Endpoint &endpoint);

} // namespace persimmon::transport
