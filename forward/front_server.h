#pragma once

#include "forward/forward_request.h"
#include "state/routing_config.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace persimmon::forward {

/// Serves one request of a caller.
using FrontHandler = std::function<boost::asio::awaitable<FrontAnswer>(
        std::shared_ptr<const ForwardRequest>, std::shared_ptr<CallerWatch>)>;

/// HTTP/1.1 server for callers. For one-thread runtimes only; must outlive the runtime's handlers.
class FrontServer
{
public:
    FrontServer(transport::Runtime &runtime, HeaderNames names, FrontHandler handler);

    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Takes the limits of a new configuration.
    void setLimits(const state::CallerLimits &limits) { limits_ = limits; }

    /// Answers requests with Connection: close from now on, and closes idle connections and the
    /// listener after @p idleTime, since callers go on using both until they learn better.
    /// Ends when no request is left, or after @p longest.
    boost::asio::awaitable<void> drain(transport::Duration idleTime, transport::Duration longest);

    std::size_t active() const { return active_; }
    std::size_t connections() const { return sessions_.size(); }

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Session
    {
        explicit Session(Socket accepted) : socket(std::move(accepted)) {}

        Socket socket;
        boost::beast::flat_buffer buffer;
        transport::TimePoint idleSince;
        bool busy = false;
    };
    using SessionPtr = std::shared_ptr<Session>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> run(SessionPtr session);
    boost::asio::awaitable<bool> serveOne(SessionPtr session);
    boost::asio::awaitable<bool> reject(SessionPtr session, int status);
    boost::asio::awaitable<bool> send(SessionPtr session, FrontAnswer answer, bool keepAlive,
                                      bool withBody);
    boost::asio::awaitable<void> watchCaller(SessionPtr session,
                                             std::shared_ptr<CallerWatch> watch);
    boost::asio::awaitable<void> closeOverdue();
    void closeIdle(transport::Duration idleTime);

    transport::Runtime &runtime_;
    const HeaderNames names_;
    const FrontHandler handler_;
    state::CallerLimits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<SessionPtr> sessions_;
    std::size_t active_ = 0;
    bool draining_ = false;
};

} // namespace persimmon::forward
