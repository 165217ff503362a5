#include "dispatch/upstream_connection_pool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::dispatch {

asio::awaitable<std::optional<UpstreamConnectionPool::Lease>>
UpstreamConnectionPool::acquire(transport::Clock &clock, std::size_t limit,
                                transport::Duration timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto deadline = clock.now() + timeout;
    while (true) {
        const auto now = clock.now();
        Waiter waiter;
        {
            const std::lock_guard lock(mutex_);
            if (auto lease = tryAcquire(limit, now))
                co_return lease;
            if (now >= deadline)
                co_return std::nullopt;
            waiter = std::make_shared<asio::steady_timer>(executor);
            waiter->expires_after(deadline - now);
            waiters_.push_back(waiter);
        }
        co_await waiter->async_wait(asio::as_tuple(asio::use_awaitable));
        const std::lock_guard lock(mutex_);
        std::erase(waiters_, waiter);
    }
}

std::optional<UpstreamConnectionPool::Lease>
UpstreamConnectionPool::tryAcquire(std::size_t limit, transport::TimePoint now)
{
    while (!idle_.empty()) {
        auto idle = std::move(idle_.back());
        idle_.pop_back();
        if (idle.connection->isReusable())
            return Lease{std::move(idle.connection), now - idle.since};
        idle.connection->close();
        --open_;
    }
    if (open_ >= std::max<std::size_t>(limit, 1))
        return std::nullopt;
    ++open_;
    return Lease{};
}

void UpstreamConnectionPool::release(std::shared_ptr<transport::HttpConnection> connection,
                                     transport::TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (connection && connection->isOpen())
        idle_.push_back({std::move(connection), now});
    else
        --open_;
    wakeOneWaiter();
}

void UpstreamConnectionPool::wakeOneWaiter()
{
    if (waiters_.empty())
        return;
    const auto waiter = waiters_.front();
    waiters_.pop_front();
    asio::post(waiter->get_executor(), [waiter] { waiter->expires_after(transport::Duration(0)); });
}

std::size_t UpstreamConnectionPool::open() const
{
    const std::lock_guard lock(mutex_);
    return open_;
}

} // namespace persimmon::dispatch
