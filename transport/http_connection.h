#pragma once

#include "transport/endpoint.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace persimmon::transport {

/// One client connection that carries one HTTP/1.1 request at a time.
/// All calls but close() must come from coroutines on the connection's executor.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    explicit HttpConnection(boost::asio::any_io_executor executor);

    /// Connects. The error is ConnectFailed or Timeout.
    boost::asio::awaitable<Status<TransportError>> connect(Endpoint endpoint, Duration timeout);

    /// Sends @p request and waits for the response. After an error the connection is closed.
    /// TransportError::written tells whether a byte of the request may have left.
    boost::asio::awaitable<TransportResult<HttpResponse>> send(HttpRequest request,
                                                               Duration timeout);

    /// Closes the connection; a running send() ends with ConnectionLost. Callable from anywhere.
    void close();

    /// @return whether the connection was opened and not closed since.
    bool isOpen() const { return open_; }

    /// Looks for an end of stream or unexpected bytes without a read; only while no send() runs.
    /// @return whether an idle connection can no longer carry a request.
    bool isPeerClosed();

    boost::asio::any_io_executor executor() { return stream_.get_executor(); }

private:
    void closeNow();

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::string host_;
    std::atomic<bool> open_ = false;
};

/// Opens a connection, sends one request, and closes it.
boost::asio::awaitable<TransportResult<HttpResponse>>
fetchOnce(Runtime &runtime, Endpoint endpoint, HttpRequest request, Duration timeout);

} // namespace persimmon::transport
