#pragma once

#include "transport/endpoint.h"

namespace persimmon::transport {

/// Opens, binds and starts @p acceptor.
/// @param endpoint address to listen on; port 0 takes a free one.
/// @return the endpoint in use, or BindFailed.
TransportResult<Endpoint> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor,
                                       const Endpoint &endpoint);

} // namespace persimmon::transport
