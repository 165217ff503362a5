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

/// Handles one request; runs on the strand of the request's connection.
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Limits and callbacks of an HTTP server.
struct HttpServerOptions
{
    /// Maximum size of a request body.
    std::size_t maxBodyBytes = DefaultMaxBodyBytes;
    /// An idle connection is closed after this time.
    std::chrono::seconds idleTimeout{60};
    /// Returns the response to a request whose body exceeds maxBodyBytes.
    std::function<HttpResponse()> makeTooLargeResponse = [] { return HttpResponse{413, "{}"}; };
    /// Creates a separate handler for each accepted connection, which replaces the common handler
    /// and is destroyed with the connection. An empty handler closes the connection.
    std::function<HttpHandler()> connectionHandler = {};
};

/// HTTP/1.1 server with keep-alive.
class HttpServer
{
public:
    HttpServer(Runtime &runtime, HttpHandler handler, HttpServerOptions options = {});
    ~HttpServer();

    /// Binds and starts to accept.
    /// @param endpoint address to listen on; port 0 selects a free port.
    /// @return the bound endpoint, or BindFailed.
    TransportResult<Endpoint> listen(const Endpoint &endpoint);

    /// Stops accepting, closes idle connections and waits for the active requests to complete.
    boost::asio::awaitable<void> drain();

    /// Closes the listener and all connections immediately.
    void close();

    /// @return number of requests in progress.
    std::size_t activeRequests() const;

private:
    struct State;
    std::shared_ptr<State> state_;
    Runtime &runtime_;
};

} // namespace persimmon::transport
