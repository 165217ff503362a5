#include "transport/http_connection.h"

#include "transport/receive_budget.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace persimmon::transport {

namespace {

constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);

TransportError makeError(const beast::error_code &error, bool written)
{
    auto code = TransportErrorCode::ConnectionLost;
    if (error == beast::error::timeout)
        code = TransportErrorCode::Timeout;
    else if (error == http::error::body_limit || error == http::error::header_limit
             || error == http::error::buffer_overflow)
        code = TransportErrorCode::TooLarge;
    else if (error.category() == make_error_code(http::error::bad_version).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        code = TransportErrorCode::Malformed;
    return {code, error.message(), written};
}

} // namespace

HttpConnection::HttpConnection(asio::any_io_executor executor) : stream_(std::move(executor)) {}

asio::awaitable<Status<TransportError>> HttpConnection::connect(Endpoint endpoint, Duration timeout)
{
    const auto self = shared_from_this();
    stream_.expires_after(timeout);
    const auto [error] = co_await stream_.async_connect(endpoint, AwaitTuple);
    if (error) {
        const auto code = error == beast::error::timeout ? TransportErrorCode::Timeout
                                                         : TransportErrorCode::ConnectFailed;
        co_return TransportError{code, formatEndpoint(endpoint) + ": " + error.message()};
    }
    beast::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    hostHeader_ = formatEndpoint(endpoint);
    open_ = true;
    co_return Ok{};
}

asio::awaitable<TransportResult<HttpResponse>> HttpConnection::send(HttpRequest request,
                                                                    Duration timeout)
{
    const auto self = shared_from_this();
    if (!open_)
        co_return TransportError{TransportErrorCode::Closed, "the connection is closed"};
    if (!isReusable()) {
        closeNow();
        co_return TransportError{TransportErrorCode::Closed,
                                 "the peer closed the connection or sent bytes without a request"};
    }
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             11);
    message.set(http::field::host, hostHeader_);
    message.set(http::field::content_type, "application/json");
    message.body() = std::move(request.body);
    message.prepare_payload();
    stream_.expires_after(timeout);
    const auto [writeError, sent] = co_await http::async_write(stream_, message, AwaitTuple);
    if (writeError) {
        closeNow();
        co_return makeError(writeError, sent > 0);
    }
    auto received = co_await receive();
    if (!isOk(received)) {
        closeNow();
        co_return errorOf(received);
    }
    stream_.expires_never();
    auto response = takeValue(received);
    // Bytes after the response would be read as the response to the next request.
    if (!response.keep_alive() || buffer_.size() > 0)
        closeNow();
    HttpResponse result(static_cast<int>(response.result_int()), std::move(response.body()),
                        std::string(response[http::field::content_type]));
    for (auto &name : request.responseFields) {
        std::string value(response[name]);
        result.fields.push_back({std::move(name), std::move(value)});
    }
    co_return result;
}

asio::awaitable<TransportResult<HttpConnection::Response>> HttpConnection::receive()
{
    const auto evict = [self = weak_from_this()] {
        if (const auto connection = self.lock())
            connection->close();
    };
    ReceiveBudget::Share share(processReceiveBudget(), evict);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(DefaultMaxBodyBytes);
    while (!parser.is_done()) {
        const auto [error, bytes] =
                co_await http::async_read_some(stream_, buffer_, parser, AwaitTuple);
        const bool fits = !share.isEvicted() && share.growTo(parser.get().body().size());
        if (!fits)
            co_return TransportError{TransportErrorCode::TooLarge,
                                     "the responses being received are too large in sum", true};
        if (error)
            co_return makeError(error, true);
    }
    co_return parser.release();
}

void HttpConnection::close()
{
    open_ = false;
    asio::post(stream_.get_executor(), [self = shared_from_this()] { self->closeNow(); });
}

bool HttpConnection::isReusable()
{
    if (!open_)
        return false;
    char byte = 0;
    const auto count = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::closeNow()
{
    open_ = false;
    beast::error_code ignored;
    stream_.socket().close(ignored);
}

asio::awaitable<TransportResult<HttpResponse>> fetchOnce(Runtime &runtime, Endpoint endpoint,
                                                         HttpRequest request, Duration timeout)
{
    const auto strand = runtime.makeStrand();
    auto exchange = [](asio::any_io_executor executor, Endpoint target, HttpRequest message,
                       Duration limit) -> asio::awaitable<TransportResult<HttpResponse>> {
        const auto connection = std::make_shared<HttpConnection>(executor);
        const auto connected = co_await connection->connect(target, limit);
        if (!isOk(connected))
            co_return errorOf(connected);
        auto response = co_await connection->send(std::move(message), limit);
        connection->close();
        co_return response;
    };
    co_return co_await asio::co_spawn(
            strand, exchange(strand, endpoint, std::move(request), timeout), asio::use_awaitable);
}

} // namespace persimmon::transport
