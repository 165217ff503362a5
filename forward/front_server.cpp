#include "forward/front_server.h"

#include "forward/parse_error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace persimmon::forward {

namespace {

constexpr const char *Part = "front";
constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds AcceptPause{10};
constexpr std::chrono::milliseconds DrainPollInterval{20};
/// How often idle connections are checked.
constexpr std::chrono::milliseconds SweepInterval{1000};
/// Connections are kept this much longer than callers are told.
constexpr std::chrono::milliseconds IdleSlack{1000};
/// Input of a rejected request that is read and dropped before the connection is closed, since
/// unread input would reset the connection and destroy the answer.
constexpr std::size_t DiscardChunk = 16U * 1024U;
constexpr std::size_t DiscardLimit = 4U * 1024U * 1024U;

bool isCallerGone(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string formatHead(const FrontAnswer &answer, bool keepAlive)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &field : answer.headers)
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    head.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
    if (!keepAlive)
        head.append("Connection: close\r\n");
    return head.append("\r\n");
}

int statusOf(const beast::error_code &error)
{
    if (error == http::error::header_limit)
        return 431;
    return error == http::error::body_limit ? 413 : 400;
}

} // namespace

FrontServer::FrontServer(transport::Runtime &runtime, HeaderNames names, FrontHandler handler)
    : runtime_(runtime),
      names_(std::move(names)),
      handler_(std::move(handler)),
      acceptor_(runtime.makeStrand())
{
}

transport::TransportResult<transport::Endpoint>
FrontServer::listen(const transport::Endpoint &endpoint)
{
    auto bound = transport::openAcceptor(acceptor_, endpoint);
    if (isOk(bound)) {
        runtime_.spawn(accept());
        runtime_.spawn(closeOverdue());
    }
    return bound;
}

asio::awaitable<void> FrontServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(AwaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            // Running out of descriptors must not turn the accept loop into a busy loop.
            transport::logWarning(Part, "accept failed", {{"reason", error.message()}});
            co_await runtime_.clock().sleep(AcceptPause);
            continue;
        }
        beast::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto session = std::make_shared<Session>(std::move(socket));
        session->idleSince = runtime_.clock().now();
        sessions_.insert(session);
        runtime_.spawn(run(session));
    }
}

asio::awaitable<void> FrontServer::run(SessionPtr session)
{
    while (co_await serveOne(session))
        session->idleSince = runtime_.clock().now();
    beast::error_code ignored;
    session->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session->socket.close(ignored);
    sessions_.erase(session);
}

asio::awaitable<bool> FrontServer::serveOne(SessionPtr session)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits_.headerBytes);
    parser.body_limit(limits_.bodyBytes);
    const auto [error, bytes] =
            co_await http::async_read(session->socket, session->buffer, parser, AwaitTuple);
    if (error && isParseError(error))
        co_return co_await reject(session, statusOf(error));
    if (error)
        co_return false;
    const auto message = parser.release();
    const auto now = runtime_.clock().now();
    auto request = std::make_shared<const ForwardRequest>(makeForwardRequest(message, names_, now));
    const auto watch = std::make_shared<CallerWatch>();
    session->busy = true;
    ++active_;
    // Bytes of a next request say that the caller is there; its end is noticed after this answer.
    if (session->buffer.size() == 0)
        runtime_.spawn(watchCaller(session, watch));
    auto answer = co_await handler_(request, watch);
    watch->onGone = [] {};
    beast::error_code ignored;
    session->socket.cancel(ignored);
    const bool keepAlive = message.keep_alive() && !draining_;
    bool open = false;
    if (!watch->gone)
        open = co_await send(session, std::move(answer), keepAlive, request->method != "HEAD");
    session->busy = false;
    --active_;
    co_return open;
}

asio::awaitable<void> FrontServer::watchCaller(SessionPtr session,
                                               std::shared_ptr<CallerWatch> watch)
{
    const auto [error] =
            co_await session->socket.async_wait(asio::ip::tcp::socket::wait_read, AwaitTuple);
    if (error || !session->busy || !isCallerGone(session->socket))
        co_return;
    watch->gone = true;
    watch->onGone();
}

asio::awaitable<bool> FrontServer::send(SessionPtr session, FrontAnswer answer, bool keepAlive,
                                        bool withBody)
{
    const auto head = formatHead(answer, keepAlive);
    const std::array<asio::const_buffer, 2> buffers{
            asio::buffer(head), withBody ? asio::buffer(answer.body) : asio::const_buffer()};
    const auto [error, bytes] = co_await asio::async_write(session->socket, buffers, AwaitTuple);
    co_return !error && keepAlive;
}

asio::awaitable<bool> FrontServer::reject(SessionPtr session, int status)
{
    transport::logWarning(Part, "request rejected", {{"status", std::to_string(status)}});
    FrontAnswer answer;
    answer.status = status;
    co_await send(session, answer, false, true);
    beast::error_code ignored;
    session->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::vector<char> chunk(DiscardChunk);
    for (std::size_t total = 0; total < DiscardLimit;) {
        const auto [error, bytes] =
                co_await session->socket.async_read_some(asio::buffer(chunk), AwaitTuple);
        if (error)
            break;
        total += bytes;
    }
    co_return false;
}

asio::awaitable<void> FrontServer::closeOverdue()
{
    while (!draining_) {
        co_await runtime_.clock().sleep(SweepInterval);
        closeIdle(limits_.idleTime + IdleSlack);
    }
}

void FrontServer::closeIdle(transport::Duration idleTime)
{
    const auto now = runtime_.clock().now();
    for (const auto &session : sessions_) {
        beast::error_code ignored;
        // A request that has arrived and was not yet read is served first.
        const bool pending = session->socket.available(ignored) > 0;
        if (session->busy || pending || now - session->idleSince < idleTime)
            continue;
        session->socket.close(ignored);
    }
}

asio::awaitable<void> FrontServer::drain(transport::Duration idleTime, transport::Duration longest)
{
    draining_ = true;
    const auto start = runtime_.clock().now();
    co_await runtime_.clock().sleep(idleTime);
    beast::error_code ignored;
    acceptor_.close(ignored);
    closeIdle(transport::Duration(0));
    while (active_ > 0 && runtime_.clock().now() - start < longest) {
        co_await runtime_.clock().sleep(DrainPollInterval);
        closeIdle(transport::Duration(0));
    }
}

} // namespace persimmon::forward
