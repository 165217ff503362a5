#pragma once

#include "transport/transport.h"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// Connection pool of one upstream, with a limit on open connections. Callable from any thread.
class UpstreamConnectionPool
{
public:
    /// A connection slot in use.
    struct Lease
    {
        /// Null if the caller has to open a connection.
        std::shared_ptr<transport::HttpConnection> connection;
        /// How long the connection has been idle.
        transport::Duration idle{0};
    };

    /// Waits for an idle connection or a free slot. Must be called on a strand.
    /// @param limit maximum number of open connections.
    /// @return std::nullopt on timeout.
    boost::asio::awaitable<std::optional<Lease>> acquire(transport::Clock &clock, std::size_t limit,
                                                         transport::Duration timeout);

    /// Ends a lease. Keeps an open @p connection for reuse; frees the slot of a closed or null one.
    void release(std::shared_ptr<transport::HttpConnection> connection, transport::TimePoint now);

    /// @return number of slots in use, including those of idle connections.
    std::size_t open() const;

private:
    struct IdleConnection
    {
        std::shared_ptr<transport::HttpConnection> connection;
        transport::TimePoint since;
    };
    using Waiter = std::shared_ptr<boost::asio::steady_timer>;

    std::optional<Lease> tryAcquire(std::size_t limit, transport::TimePoint now);
    void wakeOneWaiter();

    mutable std::mutex mutex_;
    std::vector<IdleConnection> idle_;
    std::size_t open_ = 0;
    std::deque<Waiter> waiters_;
};

} // namespace persimmon::dispatch
