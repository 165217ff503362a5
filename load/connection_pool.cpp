#include "load/connection_pool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::load {

using transport::Duration;
using transport::Endpoint;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::TransportResult;

ConnectionPool::ConnectionPool(transport::Runtime &runtime, std::size_t limit)
    : runtime_(runtime),
      limit_(limit)
{
}

asio::awaitable<TransportResult<HttpResponse>>
ConnectionPool::send(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    co_await acquire();
    if (const auto connection = popIdle(endpoint)) {
        auto response = co_await connection->send(request, timeout);
        if (isOk(response)) {
            if (connection->isOpen())
                idle_.push_back({endpoint, connection});
            release();
            co_return response;
        }
        if (errorOf(response).code == transport::TransportErrorCode::Timeout) {
            release();
            co_return response;
        }
    }
    auto response = co_await sendOnNewConnection(endpoint, std::move(request), timeout);
    release();
    co_return response;
}

asio::awaitable<TransportResult<HttpResponse>>
ConnectionPool::sendOnNewConnection(Endpoint endpoint, HttpRequest request, Duration timeout)
{
    closeExcessIdle();
    const auto connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
    const auto connected = co_await connection->connect(endpoint, timeout);
    if (!isOk(connected))
        co_return errorOf(connected);
    auto response = co_await connection->send(std::move(request), timeout);
    if (isOk(response) && connection->isOpen())
        idle_.push_back({endpoint, connection});
    co_return response;
}

asio::awaitable<void> ConnectionPool::acquire()
{
    if (inUse_ < limit_) {
        ++inUse_;
        co_return;
    }
    // release() transfers its slot to the first waiter without changing inUse_.
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
    timer->expires_at(asio::steady_timer::time_point::max());
    waiters_.push_back(timer);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

void ConnectionPool::release()
{
    if (waiters_.empty()) {
        --inUse_;
        return;
    }
    waiters_.front()->cancel();
    waiters_.pop_front();
}

ConnectionPool::ConnectionPointer ConnectionPool::popIdle(const Endpoint &endpoint)
{
    const auto found = std::find_if(idle_.begin(), idle_.end(), [&](const IdleConnection &idle) {
        return idle.endpoint == endpoint;
    });
    if (found == idle_.end())
        return nullptr;
    auto connection = found->connection;
    idle_.erase(found);
    return connection;
}

void ConnectionPool::closeExcessIdle()
{
    while (!idle_.empty() && idle_.size() + inUse_ > limit_) {
        idle_.front().connection->close();
        idle_.pop_front();
    }
}

} // namespace persimmon::load
