#pragma once

#include "transport/endpoint.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace persimmon::transport {

/// Answers one request; runs on the strand of the request's connection.
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Limits and hooks of an HTTP server.
struct HttpServerOptions
{
    std::size_t bodyLimit = DefaultBodyLimit;
    /// An idle connection is closed after this time.
    std::chrono::seconds idleTimeout{60};
    /// Response to a request whose body exceeds the limit.
    std::function<HttpResponse()> tooLarge = [] { return HttpResponse{413, "{}"}; };
    /// Makes the handler of one accepted connection instead of the common handler. It lives as long
    /// as the connection. An empty handler closes the connection.
    std::function<HttpHandler()> connectionHandler = {};
};

/// HTTP/1.1 server with keep-alive.
class HttpServer
{
public:
    HttpServer(Runtime &runtime, HttpHandler handler, HttpServerOptions options = {});
    ~HttpServer();

    /// Binds and begins to accept.
    /// @param endpoint address to listen on; port 0 takes a free one.
    /// @return the endpoint in use, or BindFailed.
    TransportResult<Endpoint> listen(const Endpoint &endpoint);

    /// Stops accepting, closes idle connections, and waits until running requests are answered.
    boost::asio::awaitable<void> drain();

    /// Closes the listener and every connection at once.
    void close();

    /// @return number of requests that are being handled.
    std::size_t activeRequests() const;

private:
    struct State;
    std::shared_ptr<State> state_;
    Runtime &runtime_;
};

} // namespace persimmon::transport
