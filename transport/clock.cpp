#include "transport/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace persimmon::transport {

TimePoint Clock::now() const
{
    const std::lock_guard lock(mutex_);
    return paused_ ? pausedTime_ : std::chrono::steady_clock::now();
}

void Clock::pause()
{
    const std::lock_guard lock(mutex_);
    if (paused_)
        return;
    paused_ = true;
    pausedTime_ = std::chrono::steady_clock::now();
}

void Clock::advance(Duration step)
{
    const std::lock_guard lock(mutex_);
    pausedTime_ += step;
    const auto firstPending = pausedTimers_.upper_bound(pausedTime_);
    for (auto it = pausedTimers_.begin(); it != firstPending; ++it) {
        if (auto timer = it->second.lock())
            asio::post(timer->get_executor(), [timer] { timer->cancel(); });
    }
    pausedTimers_.erase(pausedTimers_.begin(), firstPending);
}

std::shared_ptr<Clock::Timer> Clock::makeTimer(asio::any_io_executor executor, Duration duration)
{
    auto timer = std::make_shared<Timer>(std::move(executor));
    const std::lock_guard lock(mutex_);
    if (!paused_) {
        timer->expires_after(duration);
        return timer;
    }
    timer->expires_at(TimePoint::max());
    pausedTimers_.emplace(pausedTime_ + duration, timer);
    return timer;
}

asio::awaitable<void> Clock::sleep(Duration duration)
{
    const auto timer = makeTimer(co_await asio::this_coro::executor, duration);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace persimmon::transport
