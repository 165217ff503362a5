#pragma once

#include "transport/endpoint.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace persimmon::transport {

/// HTTP/1.1 client connection without pipelining: one request at a time.
/// All functions except close() must be called from coroutines on the connection's executor.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    explicit HttpConnection(boost::asio::any_io_executor executor);

    /// Connects to @p endpoint.
    /// @return Ok; ConnectFailed or Timeout on failure.
    boost::asio::awaitable<Status<TransportError>> connect(Endpoint endpoint, Duration timeout);

    /// Sends @p request and waits for the response. An error closes the connection.
    /// @return the response; on failure TransportError::written states whether part of the request
    ///         may have been sent.
    boost::asio::awaitable<TransportResult<HttpResponse>> send(HttpRequest request,
                                                               Duration timeout);

    /// Closes the connection; a pending send() fails with ConnectionLost. Thread-safe.
    void close();

    /// @return whether the connection was established and has not been closed since.
    bool isOpen() const { return open_; }

    /// Looks at the socket, so it must not be called during send().
    /// @return whether it is open, and the peer has neither closed it nor sent bytes that belong to
    ///         no request, such as a second response to an earlier one.
    bool isReusable();

    boost::asio::any_io_executor executor() { return stream_.get_executor(); }

private:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// Reads one response within the budget of the process.
    boost::asio::awaitable<TransportResult<Response>> receive();
    void closeNow();

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_{MaxBufferedBytes};
    std::string hostHeader_;
    std::atomic<bool> open_ = false;
};

/// Sends one request over a new connection, which is closed afterwards.
/// @param timeout limit for connecting and, separately, for the request.
boost::asio::awaitable<TransportResult<HttpResponse>>
fetchOnce(Runtime &runtime, Endpoint endpoint, HttpRequest request, Duration timeout);

} // namespace persimmon::transport
