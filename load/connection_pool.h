#pragma once

#include "transport/http_connection.h"

#include <deque>
#include <list>

namespace persimmon::load {

/// Bounded pool of persistent HTTP connections to entries. Not thread-safe.
class ConnectionPool
{
public:
    /// @param limit maximum number of connections.
    ConnectionPool(transport::Runtime &runtime, std::size_t limit);

    /// Sends @p request on an idle connection, or on a new one. Waits while all connections are in
    /// use. A request that fails on a reused connection, other than by timeout, is retried once on
    /// a new one, because the entry may have closed the idle connection. The retry is safe: queries
    /// are repeatable or carry a request id.
    /// @return the response, or the error of the last attempt.
    boost::asio::awaitable<transport::TransportResult<transport::HttpResponse>>
    send(transport::Endpoint endpoint, transport::HttpRequest request, transport::Duration timeout);

private:
    using ConnectionPointer = std::shared_ptr<transport::HttpConnection>;
    struct IdleConnection
    {
        transport::Endpoint endpoint;
        ConnectionPointer connection;
    };

    boost::asio::awaitable<void> acquire();
    void release();
    ConnectionPointer popIdle(const transport::Endpoint &endpoint);
    void closeExcessIdle();
    boost::asio::awaitable<transport::TransportResult<transport::HttpResponse>>
    sendOnNewConnection(transport::Endpoint endpoint, transport::HttpRequest request,
                        transport::Duration timeout);

    transport::Runtime &runtime_;
    std::size_t limit_;
    std::size_t inUse_ = 0;
    std::list<IdleConnection> idle_;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> waiters_;
};

} // namespace persimmon::load
