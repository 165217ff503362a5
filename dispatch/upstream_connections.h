#pragma once

#include "transport/transport.h"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// The connections to one upstream: idle ones, and places below the limit for new ones.
class UpstreamConnections
{
public:
    /// A place below the connection limit.
    struct Lease
    {
        /// Null when the connection has to be opened.
        std::shared_ptr<transport::HttpConnection> connection;
        /// Time since the connection was last used.
        transport::Duration idle{0};
    };

    /// Waits for an idle connection or for a free place. The caller runs on a strand.
    /// @param limit connections that may be open at the same time.
    /// @return nothing when none became free within @p timeout.
    boost::asio::awaitable<std::optional<Lease>> acquire(transport::Clock &clock, std::size_t limit,
                                                         transport::Duration timeout);

    /// Ends a lease. An open @p connection is kept for reuse; a closed or null one frees its place.
    void release(std::shared_ptr<transport::HttpConnection> connection, transport::TimePoint now);

    /// @return number of places in use, idle connections included.
    std::size_t open() const;

private:
    struct Idle
    {
        std::shared_ptr<transport::HttpConnection> connection;
        transport::TimePoint since;
    };
    using Waiter = std::shared_ptr<boost::asio::steady_timer>;

    std::optional<Lease> tryAcquire(std::size_t limit, transport::TimePoint now);
    void wakeOne();

    mutable std::mutex mutex_;
    std::vector<Idle> idle_;
    std::size_t open_ = 0;
    std::deque<Waiter> waiters_;
};

} // namespace persimmon::dispatch
