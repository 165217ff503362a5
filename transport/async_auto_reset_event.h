#pragma once

#include "transport/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace persimmon::transport {

/// Auto-reset event on which one coroutine waits with a deadline. Not thread-safe: for
/// single-threaded runtimes only.
class AsyncAutoResetEvent
{
public:
    explicit AsyncAutoResetEvent(const boost::asio::any_io_executor &executor) : timer_(executor) {}

    /// Resumes the waiting coroutine; without one, the next waitUntil() returns at once.
    void notify()
    {
        notified_ = true;
        timer_.cancel();
    }

    /// Suspends until notify() is called or @p deadline passes, then resets the event.
    boost::asio::awaitable<void> waitUntil(TimePoint deadline)
    {
        if (!notified_) {
            timer_.expires_at(deadline);
            co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        notified_ = false;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_ = false;
};

} // namespace persimmon::transport
