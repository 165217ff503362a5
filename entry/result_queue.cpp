#include "entry/result_queue.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace persimmon::entry {

void ResultQueue::push(protocol::SubResult result)
{
    results_.push_back(std::move(result));
    timer_.cancel();
}

std::optional<protocol::SubResult> ResultQueue::pop()
{
    if (results_.empty())
        return std::nullopt;
    auto result = std::move(results_.front());
    results_.pop_front();
    return result;
}

asio::awaitable<void> ResultQueue::waitUntil(transport::TimePoint time)
{
    if (!results_.empty())
        co_return;
    timer_.expires_at(time);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace persimmon::entry
