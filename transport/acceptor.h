#pragma once

#include "transport/endpoint.h"

namespace persimmon::transport {

/// Opens and binds @p acceptor and starts to listen.
/// @param endpoint address to listen on; port 0 selects a free port.
/// @return the bound endpoint, or BindFailed.
TransportResult<Endpoint> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor,
                                       const Endpoint &endpoint);

} // namespace persimmon::transport
