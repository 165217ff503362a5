#pragma once

#include "transport/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace persimmon::transport {

/// Lets one coroutine wait for an event or a time. For one-thread runtimes only.
class OneShot
{
public:
    explicit OneShot(const boost::asio::any_io_executor &executor) : timer_(executor) {}

    /// Wakes the waiter, or the next call of waitUntil().
    void notify()
    {
        notified_ = true;
        timer_.cancel();
    }

    /// Suspends until notify() or @p until.
    boost::asio::awaitable<void> waitUntil(TimePoint until)
    {
        if (!notified_) {
            timer_.expires_at(until);
            co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        notified_ = false;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_ = false;
};

} // namespace persimmon::transport
