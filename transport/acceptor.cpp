#include "transport/acceptor.h"

namespace asio = boost::asio;

namespace persimmon::transport {

TransportResult<Endpoint> openAcceptor(asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return TransportError{TransportErrorCode::BindFailed, "cannot listen on "
                                                                      + formatEndpoint(endpoint)
                                                                      + ": " + error.message()};
    }
    return acceptor.local_endpoint();
}

} // namespace persimmon::transport
