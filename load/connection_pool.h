#pragma once

#include "transport/http_connection.h"

#include <deque>
#include <list>

namespace persimmon::load {

/// Bounded number of HTTP connections to entries, kept open between requests. Used by one thread.
class ConnectionPool
{
public:
    ConnectionPool(transport::Runtime &runtime, std::size_t limit);

    /// Sends @p request on an idle connection, or on a new one. Waits while all connections are in
    /// use. A request that fails on a reused connection is sent once more on a new one, because the
    /// entry may have closed it meanwhile; queries are repeatable or carry a request id.
    boost::asio::awaitable<transport::TransportResult<transport::HttpResponse>>
    send(transport::Endpoint endpoint, transport::HttpRequest request, transport::Duration timeout);

private:
    using ConnectionPointer = std::shared_ptr<transport::HttpConnection>;
    struct Idle
    {
        transport::Endpoint endpoint;
        ConnectionPointer connection;
    };

    boost::asio::awaitable<void> acquire();
    void release();
    ConnectionPointer takeIdle(const transport::Endpoint &endpoint);
    void closeSurplus();
    boost::asio::awaitable<transport::TransportResult<transport::HttpResponse>>
    sendNew(transport::Endpoint endpoint, transport::HttpRequest request,
            transport::Duration timeout);

    transport::Runtime &runtime_;
    std::size_t limit_;
    std::size_t inUse_ = 0;
    std::list<Idle> idle_;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

} // namespace persimmon::load
