#pragma once

#include "forward/forward_request.h"
#include "forward/session_phase.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <set>

namespace persimmon::forward {

/// Serves one request of a caller.
using CallerRequestHandler = std::function<boost::asio::awaitable<CallerResponse>(
        std::shared_ptr<const ForwardRequest>, std::shared_ptr<CallerMonitor>)>;

/// HTTP/1.1 server for callers, or for other hosts that pass on their requests. Requires a
/// single-threaded runtime and must outlive the runtime's handlers.
class FrontendServer
{
public:
    FrontendServer(transport::Runtime &runtime, HeaderNames names, CallerRequestHandler handler,
                   RequestSource source = RequestSource::Caller);

    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Applies the limits of a new configuration to subsequent requests.
    void setLimits(const state::CallerLimits &limits) { limits_ = limits; }

    /// Stops the server gracefully. Sends Connection: close with each further response. Closes the
    /// listener and idle connections after @p idleTime, since callers keep using both until they
    /// notice the shutdown. Connections that the kernel has already accepted are served first.
    /// Completes when no connection is left, or after @p maxTime.
    boost::asio::awaitable<void> drain(transport::Duration idleTime, transport::Duration maxTime);

    std::size_t activeRequestCount() const { return activeRequests_; }
    std::size_t connectionCount() const { return sessions_.size(); }

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Session
    {
        explicit Session(Socket accepted) : socket(std::move(accepted)) {}

        Socket socket;
        boost::beast::flat_buffer buffer;
        SessionPhase phase = SessionPhase::New;
        /// Start of the phase, or of its last progress.
        transport::TimePoint phaseSince;
        /// Whether the caller took too long to send its request.
        bool timedOut = false;
    };
    using SessionPtr = std::shared_ptr<Session>;

    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> accept();
    /// Accepts the connections that wait in the backlog, which the kernel would otherwise reset.
    void acceptBacklog();
    void startSession(Socket socket);
    void enterPhase(Session &session, SessionPhase phase);
    boost::asio::awaitable<void> runSession(SessionPtr session);
    /// Waits for the first byte of a request without reading it, so that a session counts as idle
    /// exactly as long as nothing has arrived.
    boost::asio::awaitable<bool> awaitRequest(SessionPtr session);
    /// @return the error that ended the read, if any.
    boost::asio::awaitable<boost::beast::error_code> readRequest(SessionPtr session,
                                                                 RequestParser &parser);
    boost::asio::awaitable<bool> serveRequest(SessionPtr session);
    boost::asio::awaitable<bool> reject(SessionPtr session, int status);
    boost::asio::awaitable<bool> send(SessionPtr session, CallerResponse response, bool keepAlive,
                                      bool withBody);
    boost::asio::awaitable<void> monitorCaller(SessionPtr session,
                                               std::shared_ptr<CallerMonitor> monitor);
    boost::asio::awaitable<void> closeExpiredPeriodically();
    void closeExpired();
    void closeIfExpired(Session &session);

    transport::Runtime &runtime_;
    const HeaderNames names_;
    const CallerRequestHandler handler_;
    const RequestSource source_;
    state::CallerLimits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<SessionPtr> sessions_;
    std::size_t activeRequests_ = 0;
    /// Whether callers may send further requests. They may for a time after the drain has started.
    bool listening_ = true;
    bool draining_ = false;
};

} // namespace persimmon::forward
