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
    return paused_ ? pausedAt_ : std::chrono::steady_clock::now();
}

void Clock::pause()
{
    const std::lock_guard lock(mutex_);
    if (paused_)
        return;
    paused_ = true;
    pausedAt_ = std::chrono::steady_clock::now();
}

void Clock::advance(Duration step)
{
    const std::lock_guard lock(mutex_);
    pausedAt_ += step;
    const auto due = sleepers_.upper_bound(pausedAt_);
    for (auto it = sleepers_.begin(); it != due; ++it) {
        if (auto timer = it->second.lock())
            asio::post(timer->get_executor(), [timer] { timer->cancel(); });
    }
    sleepers_.erase(sleepers_.begin(), due);
}

std::shared_ptr<Clock::Timer> Clock::addSleeper(asio::any_io_executor executor, Duration duration)
{
    auto timer = std::make_shared<Timer>(std::move(executor));
    const std::lock_guard lock(mutex_);
    if (!paused_) {
        timer->expires_after(duration);
        return timer;
    }
    timer->expires_at(TimePoint::max());
    sleepers_.emplace(pausedAt_ + duration, timer);
    return timer;
}

asio::awaitable<void> Clock::sleep(Duration duration)
{
    const auto timer = addSleeper(co_await asio::this_coro::executor, duration);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace persimmon::transport
