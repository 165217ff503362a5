#include "transport/http_server.h"

#include "transport/acceptor.h"
#include "transport/log.h"
#include "transport/request_framing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <tuple>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace persimmon::transport {

namespace {

constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds DrainPollInterval{10};
/// Time for the rest of a request that has arrived in part when a drain starts.
constexpr std::chrono::seconds DrainReadTime{1};

/// Limits for reading and discarding the body of a rejected request before the connection is
/// closed.
constexpr std::size_t DiscardChunkBytes = 64U * 1024U;
constexpr std::size_t MaxDiscardBytes = 32U * 1024U * 1024U;
constexpr std::chrono::seconds DiscardTimeout{1};

struct Session
{
    explicit Session(tcp::socket socket) : stream(std::move(socket)) {}

    void close()
    {
        beast::error_code ignored;
        stream.socket().close(ignored);
    }

    /// @return whether no byte of a request has arrived.
    bool isIdle()
    {
        beast::error_code ignored;
        return !busy && buffer.size() == 0 && stream.socket().available(ignored) == 0;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{MaxBufferedBytes};
    bool busy = false;
};

} // namespace

struct HttpServer::State
{
    State(Runtime &owner, HttpHandler requestHandler, HttpServerOptions serverOptions)
        : runtime(owner),
          handler(std::move(requestHandler)),
          options(std::move(serverOptions)),
          acceptor(owner.makeStrand())
    {
    }

    Runtime &runtime;
    HttpHandler handler;
    HttpServerOptions options;
    tcp::acceptor acceptor;
    std::atomic<bool> draining = false;
    std::atomic<std::size_t> active = 0;
    std::mutex mutex;
    std::set<std::shared_ptr<Session>> sessions;

    void forEachSession(const std::function<void(Session &)> &action)
    {
        const std::lock_guard lock(mutex);
        for (const auto &session : sessions) {
            asio::post(session->stream.get_executor(), [session, action] { action(*session); });
        }
    }

    bool hasSessions()
    {
        const std::lock_guard lock(mutex);
        return !sessions.empty();
    }

    void remove(const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(mutex);
        sessions.erase(session);
    }

    asio::awaitable<bool> write(Session &session, HttpResponse response, unsigned version,
                                bool keepAlive);
    asio::awaitable<bool> serveRequest(Session &session, const HttpHandler &connectionHandler);
    static void startSession(const std::shared_ptr<State> &self, tcp::socket socket);
    static void stopListening(const std::shared_ptr<State> &self);
    static asio::awaitable<void> discardInput(Session &session);
    static asio::awaitable<void> serve(std::shared_ptr<State> self,
                                       std::shared_ptr<Session> session);
    static asio::awaitable<void> accept(std::shared_ptr<State> self);
};

asio::awaitable<bool> HttpServer::State::write(Session &session, HttpResponse response,
                                               unsigned version, bool keepAlive)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), version);
    message.set(http::field::content_type, response.contentType);
    for (const auto &field : response.fields)
        message.set(field.name, field.value);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    const auto [error, bytes] = co_await http::async_write(session.stream, message, AwaitTuple);
    co_return !error && keepAlive;
}

asio::awaitable<void> HttpServer::State::discardInput(Session &session)
{
    // Closing a socket with unread input resets the connection, which can discard the response
    // before the client has read it.
    std::vector<char> chunk(DiscardChunkBytes);
    session.stream.expires_after(DiscardTimeout);
    for (std::size_t total = 0; total < MaxDiscardBytes;) {
        const auto [error, bytes] =
                co_await session.stream.async_read_some(asio::buffer(chunk), AwaitTuple);
        if (error)
            co_return;
        total += bytes;
    }
}

asio::awaitable<bool> HttpServer::State::serveRequest(Session &session,
                                                      const HttpHandler &connectionHandler)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(options.maxBodyBytes);
    session.stream.expires_after(options.idleTimeout);
    auto [error, bytes] =
            co_await http::async_read_header(session.stream, session.buffer, parser, AwaitTuple);
    // From here on, the buffer does not show that a request has arrived in part.
    session.busy = true;
    if (!error && !parser.is_done()) {
        std::tie(error, bytes) =
                co_await http::async_read(session.stream, session.buffer, parser, AwaitTuple);
    }
    if (error == http::error::body_limit) {
        co_await write(session, options.makeTooLargeResponse(), 11, false);
        co_await discardInput(session);
        co_return false;
    }
    // A closed session cannot answer, so its request must not be executed.
    if (error || !session.stream.socket().is_open())
        co_return false;
    auto message = parser.release();
    if (const auto status = framingErrorStatus(message)) {
        logWarning("http", "request rejected", {{"status", std::to_string(*status)}});
        HttpResponse rejection(*status, R"({"error":"framing"})");
        co_await write(session, std::move(rejection), 11, false);
        co_await discardInput(session);
        co_return false;
    }
    session.stream.expires_never();
    HttpRequest request{std::string(message.method_string()), std::string(message.target()),
                        std::move(message.body())};
    ++active;
    HttpResponse response;
    bool failed = false;
    try {
        response = co_await connectionHandler(std::move(request));
    } catch (const std::exception &exception) {
        failed = true;
        logError("http", "Request handler threw an exception.", {{"reason", exception.what()}});
    }
    if (failed)
        response = {500, R"({"error":"internal"})"};
    const bool keepAlive = message.keep_alive() && !draining;
    const bool open = co_await write(session, std::move(response), message.version(), keepAlive);
    --active;
    session.busy = false;
    co_return open;
}

asio::awaitable<void> HttpServer::State::serve(std::shared_ptr<State> self,
                                               std::shared_ptr<Session> session)
{
    const HttpHandler connectionHandler =
            self->options.connectionHandler ? self->options.connectionHandler() : self->handler;
    while (connectionHandler) {
        if (!co_await self->serveRequest(*session, connectionHandler))
            break;
    }
    beast::error_code ignored;
    session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    session->close();
    self->remove(session);
}

asio::awaitable<void> HttpServer::State::accept(std::shared_ptr<State> self)
{
    while (!self->draining) {
        auto [error, socket] =
                co_await self->acceptor.async_accept(self->runtime.makeStrand(), AwaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            // The delay prevents a busy loop while file descriptors are exhausted.
            co_await self->runtime.clock().sleep(DrainPollInterval);
            continue;
        }
        startSession(self, std::move(socket));
    }
}

void HttpServer::State::startSession(const std::shared_ptr<State> &self, tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket));
    {
        const std::lock_guard lock(self->mutex);
        self->sessions.insert(session);
    }
    asio::co_spawn(session->stream.get_executor(), serve(self, session), asio::detached);
}

void HttpServer::State::stopListening(const std::shared_ptr<State> &self)
{
    // The kernel resets the connections that wait in the backlog of a closed listener.
    beast::error_code error;
    self->acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(self->runtime.makeStrand());
        self->acceptor.accept(socket, error);
        if (!error)
            startSession(self, std::move(socket));
    }
    self->acceptor.close(error);
}

HttpServer::HttpServer(Runtime &runtime, HttpHandler handler, HttpServerOptions options)
    : state_(std::make_shared<State>(runtime, std::move(handler), std::move(options))),
      runtime_(runtime)
{
}

HttpServer::~HttpServer()
{
    close();
}

TransportResult<Endpoint> HttpServer::listen(const Endpoint &endpoint)
{
    auto bound = openAcceptor(state_->acceptor, endpoint);
    if (isOk(bound))
        asio::co_spawn(state_->acceptor.get_executor(), State::accept(state_), asio::detached);
    return bound;
}

asio::awaitable<void> HttpServer::drain()
{
    const auto state = state_;
    state->draining = true;
    asio::post(state->acceptor.get_executor(), [state] { State::stopListening(state); });
    const auto readUntil = runtime_.clock().now() + DrainReadTime;
    while (true) {
        co_await runtime_.clock().sleep(DrainPollInterval);
        state->forEachSession([](Session &session) {
            if (session.isIdle())
                session.close();
        });
        const bool reading = state->hasSessions() && runtime_.clock().now() < readUntil;
        if (state->active == 0 && !reading)
            break;
    }
    // Requests that are still incomplete are not executed.
    state->forEachSession([](Session &session) { session.close(); });
}

void HttpServer::close()
{
    const auto state = state_;
    state->draining = true;
    asio::post(state->acceptor.get_executor(), [state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    state->forEachSession([](Session &session) { session.close(); });
}

std::size_t HttpServer::activeRequests() const
{
    return state_->active;
}

} // namespace persimmon::transport
