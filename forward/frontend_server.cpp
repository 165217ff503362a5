#include "forward/frontend_server.h"

#include "forward/parse_error.h"
#include "forward/response_status.h"

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
constexpr std::chrono::milliseconds AcceptRetryDelay{10};
constexpr std::chrono::milliseconds DrainPollInterval{20};
constexpr std::chrono::milliseconds IdleCheckInterval{1000};
/// The input of a rejected request is read and discarded before the connection is closed: closing a
/// socket with unread input resets the connection, and the caller may lose the response.
constexpr std::size_t DiscardChunkBytes = 16U * 1024U;
constexpr std::size_t MaxDiscardBytes = 4U * 1024U * 1024U;
constexpr std::size_t ReadChunkBytes = 64U * 1024U;

bool isCallerDisconnected(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string formatHeader(const CallerResponse &response, bool keepAlive)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
    head.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &field : response.headers)
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    head.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    if (!keepAlive)
        head.append("Connection: close\r\n");
    return head.append("\r\n");
}

int statusForError(const beast::error_code &error)
{
    if (error == http::error::header_limit)
        return 431;
    return error == http::error::body_limit ? 413 : 400;
}

} // namespace

FrontendServer::FrontendServer(transport::Runtime &runtime, HeaderNames names,
                               CallerRequestHandler handler, RequestSource source)
    : runtime_(runtime),
      names_(std::move(names)),
      handler_(std::move(handler)),
      source_(source),
      acceptor_(runtime.makeStrand())
{
}

transport::TransportResult<transport::Endpoint>
FrontendServer::listen(const transport::Endpoint &endpoint)
{
    auto bound = transport::openAcceptor(acceptor_, endpoint);
    if (isOk(bound)) {
        runtime_.spawn(accept());
        runtime_.spawn(closeExpiredPeriodically());
    }
    return bound;
}

asio::awaitable<void> FrontendServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(AwaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            // Avoids a busy loop when file descriptors are exhausted.
            transport::logWarning(Part, "accept failed", {{"reason", error.message()}});
            co_await runtime_.clock().sleep(AcceptRetryDelay);
            continue;
        }
        startSession(std::move(socket));
    }
}

void FrontendServer::acceptBacklog()
{
    beast::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        Socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error)
            startSession(std::move(socket));
    }
    if (error != asio::error::would_block)
        transport::logWarning(Part, "accept failed", {{"reason", error.message()}});
}

void FrontendServer::startSession(Socket socket)
{
    beast::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket));
    enterPhase(*session, SessionPhase::New);
    sessions_.insert(session);
    runtime_.spawn(runSession(session));
}

void FrontendServer::enterPhase(Session &session, SessionPhase phase)
{
    session.phase = phase;
    session.phaseSince = runtime_.clock().now();
}

asio::awaitable<void> FrontendServer::runSession(SessionPtr session)
{
    while (co_await awaitRequest(session)) {
        if (!co_await serveRequest(session))
            break;
        enterPhase(*session, SessionPhase::Idle);
    }
    beast::error_code ignored;
    session->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session->socket.close(ignored);
    sessions_.erase(session);
}

asio::awaitable<bool> FrontendServer::awaitRequest(SessionPtr session)
{
    if (session->buffer.size() == 0) {
        const auto [error] =
                co_await session->socket.async_wait(asio::ip::tcp::socket::wait_read, AwaitTuple);
        // A closed session cannot answer, so its request must not be read.
        if (error || !session->socket.is_open())
            co_return false;
    }
    enterPhase(*session, SessionPhase::ReadingHeader);
    co_return true;
}

asio::awaitable<beast::error_code> FrontendServer::readRequest(SessionPtr session,
                                                               RequestParser &parser)
{
    const auto [headerError, headerBytes] =
            co_await http::async_read_header(session->socket, session->buffer, parser, AwaitTuple);
    if (headerError)
        co_return headerError;
    while (!parser.is_done()) {
        enterPhase(*session, SessionPhase::ReadingBody);
        const auto [error, bytes] = co_await http::async_read_some(session->socket, session->buffer,
                                                                   parser, AwaitTuple);
        if (error)
            co_return error;
    }
    co_return beast::error_code{};
}

asio::awaitable<bool> FrontendServer::serveRequest(SessionPtr session)
{
    RequestParser parser;
    parser.header_limit(limits_.headerBytes);
    parser.body_limit(limits_.bodyBytes);
    // Bounds framing that never ends, such as a chunk extension.
    session->buffer.max_size(limits_.headerBytes + ReadChunkBytes);
    const auto error = co_await readRequest(session, parser);
    if (error && session->timedOut)
        co_return co_await reject(session, RequestTimeoutStatus);
    if (error && isParseError(error))
        co_return co_await reject(session, statusForError(error));
    // A closed session cannot answer, so its request must not be executed.
    if (error || !session->socket.is_open())
        co_return false;
    const auto message = parser.release();
    if (const auto status = transport::framingErrorStatus(message))
        co_return co_await reject(session, *status);
    const auto now = runtime_.clock().now();
    auto request = std::make_shared<const ForwardRequest>(
            makeForwardRequest(message, names_, now, source_));
    const auto monitor = std::make_shared<CallerMonitor>();
    enterPhase(*session, SessionPhase::Serving);
    ++activeRequests_;
    // Buffered bytes of a pipelined request show that the caller is connected. Its disconnect is
    // then detected after this response.
    if (session->buffer.size() == 0)
        runtime_.spawn(monitorCaller(session, monitor));
    auto response = co_await handler_(request, monitor);
    monitor->onDisconnect = [] {};
    beast::error_code ignored;
    session->socket.cancel(ignored);
    const bool keepAlive = message.keep_alive() && !draining_;
    bool keepOpen = false;
    if (!monitor->disconnected)
        keepOpen =
                co_await send(session, std::move(response), keepAlive, request->method != "HEAD");
    --activeRequests_;
    co_return keepOpen;
}

asio::awaitable<void> FrontendServer::monitorCaller(SessionPtr session,
                                                    std::shared_ptr<CallerMonitor> monitor)
{
    const auto [error] =
            co_await session->socket.async_wait(asio::ip::tcp::socket::wait_read, AwaitTuple);
    if (error || session->phase != SessionPhase::Serving || !isCallerDisconnected(session->socket))
        co_return;
    monitor->disconnected = true;
    monitor->onDisconnect();
}

asio::awaitable<bool> FrontendServer::send(SessionPtr session, CallerResponse response,
                                           bool keepAlive, bool withBody)
{
    enterPhase(*session, SessionPhase::Sending);
    const auto head = formatHeader(response, keepAlive);
    const std::array<asio::const_buffer, 2> buffers{
            asio::buffer(head), withBody ? asio::buffer(response.body) : asio::const_buffer()};
    const auto onProgress = [this, session](const beast::error_code &error, std::size_t bytes) {
        session->phaseSince = runtime_.clock().now();
        return asio::transfer_all()(error, bytes);
    };
    const auto [error, bytes] =
            co_await asio::async_write(session->socket, buffers, onProgress, AwaitTuple);
    co_return !error && keepAlive;
}

asio::awaitable<bool> FrontendServer::reject(SessionPtr session, int status)
{
    transport::logWarning(Part, "request rejected", {{"status", std::to_string(status)}});
    CallerResponse response;
    response.status = status;
    co_await send(session, response, false, true);
    enterPhase(*session, SessionPhase::Discarding);
    beast::error_code ignored;
    session->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::vector<char> chunk(DiscardChunkBytes);
    for (std::size_t total = 0; total < MaxDiscardBytes;) {
        const auto [error, bytes] =
                co_await session->socket.async_read_some(asio::buffer(chunk), AwaitTuple);
        if (error)
            break;
        total += bytes;
    }
    co_return false;
}

asio::awaitable<void> FrontendServer::closeExpiredPeriodically()
{
    while (listening_) {
        co_await runtime_.clock().sleep(IdleCheckInterval);
        closeExpired();
    }
}

void FrontendServer::closeExpired()
{
    for (const auto &session : sessions_)
        closeIfExpired(*session);
}

void FrontendServer::closeIfExpired(Session &session)
{
    const auto limit = sessionTimeLimit(session.phase, limits_, listening_);
    if (!limit || runtime_.clock().now() - session.phaseSince < *limit)
        return;
    beast::error_code ignored;
    switch (session.phase) {
    case SessionPhase::New:
    case SessionPhase::Idle:
        // A request that has arrived but was not read yet is still served.
        if (session.socket.available(ignored) == 0)
            session.socket.close(ignored);
        break;
    case SessionPhase::ReadingHeader:
    case SessionPhase::ReadingBody:
        session.timedOut = true;
        session.socket.cancel(ignored);
        break;
    default:
        transport::logWarning(Part, "closing a connection whose caller makes no progress",
                              {{"phase", std::string(enumName(SessionPhaseNames, session.phase))}});
        session.socket.close(ignored);
    }
}

asio::awaitable<void> FrontendServer::drain(transport::Duration idleTime,
                                            transport::Duration maxTime)
{
    draining_ = true;
    const auto start = runtime_.clock().now();
    co_await runtime_.clock().sleep(idleTime);
    acceptBacklog();
    beast::error_code ignored;
    acceptor_.close(ignored);
    listening_ = false;
    // A connection that was accepted in this turn becomes a session only after it.
    do {
        co_await runtime_.clock().sleep(DrainPollInterval);
        closeExpired();
    } while (!sessions_.empty() && runtime_.clock().now() - start < maxTime);
    if (!sessions_.empty()) {
        transport::logWarning(Part, "drain ended with open connections",
                              {{"connections", std::to_string(sessions_.size())},
                               {"active", std::to_string(activeRequests_)}});
    }
}

} // namespace persimmon::forward
