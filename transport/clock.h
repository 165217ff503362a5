#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>

namespace persimmon::transport {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// The runtime's clock. Tests pause it and advance it by hand.
class Clock
{
public:
    /// @return the current time; while paused, the time at the pause plus all advances.
    TimePoint now() const;

    /// Stops the clock. Sleepers wake only through advance() from here on.
    void pause();

    /// Moves a paused clock on by @p step and wakes the sleepers that are due.
    void advance(Duration step);

    /// Suspends the calling coroutine for @p duration of this clock.
    boost::asio::awaitable<void> sleep(Duration duration);

private:
    using Timer = boost::asio::steady_timer;

    std::shared_ptr<Timer> addSleeper(boost::asio::any_io_executor executor, Duration duration);

    mutable std::mutex mutex_;
    bool paused_ = false;
    TimePoint pausedAt_{};
    std::multimap<TimePoint, std::weak_ptr<Timer>> sleepers_;
};

} // namespace persimmon::transport
