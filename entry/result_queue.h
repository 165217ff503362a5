#pragma once

#include "protocol/protocol.h"
#include "transport/transport.h"

#include <deque>
#include <optional>

namespace persimmon::entry {

/// Queue of received results of one query. All calls must be made on the strand of the query.
class ResultQueue
{
public:
    explicit ResultQueue(const boost::asio::any_io_executor &strand) : timer_(strand) {}

    /// Appends a result and wakes waitUntil().
    void push(protocol::SubResult result);

    /// Removes the oldest result. @return the result, or std::nullopt if the queue is empty.
    std::optional<protocol::SubResult> pop();

    /// Waits until the queue is not empty or @p time is reached.
    boost::asio::awaitable<void> waitUntil(transport::TimePoint time);

    void clear() { results_.clear(); }

private:
    boost::asio::steady_timer timer_;
    std::deque<protocol::SubResult> results_;
};

} // namespace persimmon::entry
