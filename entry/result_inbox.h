#pragma once

#include "protocol/protocol.h"
#include "transport/transport.h"

#include <deque>
#include <optional>

namespace persimmon::entry {

/// Results that wait for one query. All calls come from the query's strand.
class ResultInbox
{
public:
    explicit ResultInbox(const boost::asio::any_io_executor &strand) : timer_(strand) {}

    /// Adds a result and wakes waitUntil().
    void push(protocol::SubResult result);

    /// @return the oldest result, removed; nothing when there is none.
    std::optional<protocol::SubResult> take();

    /// Waits until @p time or until a result is there.
    boost::asio::awaitable<void> waitUntil(transport::TimePoint time);

    void clear() { results_.clear(); }

private:
    boost::asio::steady_timer timer_;
    std::deque<protocol::SubResult> results_;
};

} // namespace persimmon::entry
