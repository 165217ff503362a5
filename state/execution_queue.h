#pragma once

#include "protocol/priority.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace persimmon::state {

/// Priority queue of the sub-requests of one service that wait for an upstream.
class ExecutionQueue
{
public:
    /// Every nth pop() prefers the lowest priority, so that bulk work is not starved.
    static constexpr std::uint64_t LowestPriorityInterval = 20;

    /// Returns how many sub-requests, including the given one, can be served before its deadline.
    using CapacityFunction = std::function<std::size_t(std::uint64_t)>;

    /// Adds a sub-request. Its queue position counts only work of the same or a higher priority,
    /// so that urgent work with a short deadline does not evict lower-priority work that can wait.
    /// @return the sub-request that is evicted: the newest of the lowest priority that cannot be
    ///         served in time, which may be @p id itself; std::nullopt if all can be served.
    std::optional<std::uint64_t> push(std::uint64_t id, protocol::Priority priority,
                                      const CapacityFunction &capacityFor);

    /// Returns a sub-request that was popped before to the front of its priority.
    void pushFront(std::uint64_t id, protocol::Priority priority);

    /// Moves a queued sub-request to the front of its priority.
    void moveToFront(std::uint64_t id, protocol::Priority priority);

    /// Removes and returns the next sub-request in priority order that satisfies @p isReady.
    std::optional<std::uint64_t> pop(const std::function<bool(std::uint64_t)> &isReady);

    /// Removes a sub-request that no longer waits.
    void remove(std::uint64_t id, protocol::Priority priority);

    std::size_t size() const;

private:
    std::deque<std::uint64_t> &queueFor(protocol::Priority priority);

    std::array<std::deque<std::uint64_t>, protocol::PriorityNames.size()> queues_;
    std::uint64_t popCount_ = 0;
};

} // namespace persimmon::state
