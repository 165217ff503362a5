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

/// Clock of a runtime. Tests can pause it and advance it manually.
class Clock
{
public:
    /// @return the current time; while paused, the time of pause() plus all advances.
    TimePoint now() const;

    /// Stops the clock. Sleeps that start afterwards end only through advance().
    void pause();

    /// Advances a paused clock by @p step and resumes the sleeps that have expired.
    void advance(Duration step);

    /// Suspends the calling coroutine for @p duration as measured by this clock.
    boost::asio::awaitable<void> sleep(Duration duration);

private:
    using Timer = boost::asio::steady_timer;

    std::shared_ptr<Timer> makeTimer(boost::asio::any_io_executor executor, Duration duration);

    mutable std::mutex mutex_;
    bool paused_ = false;
    TimePoint pausedTime_{};
    std::multimap<TimePoint, std::weak_ptr<Timer>> pausedTimers_;
};

} // namespace persimmon::transport
