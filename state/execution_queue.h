#pragma once

#include "protocol/priority.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace persimmon::state {

/// Waiting sub-requests of one service by priority.
class ExecutionQueue
{
public:
    /// Every grant of this number goes to the lowest waiting priority, so that bulk is not starved.
    static constexpr std::uint64_t LowestPriorityInterval = 20;

    /// How many sub-requests can be served before the deadline of a given one, itself included.
    using CapacityOf = std::function<std::size_t(std::uint64_t)>;

    /// Adds a sub-request. Only work of the same or a higher priority is ahead of another, so that
    /// the short deadline of a high priority refuses nothing of a low one that can wait.
    /// @return the sub-request that is refused for it: the newest of the lowest priority that
    /// cannot
    ///         be served in time, which may be @p id itself; nothing while all can.
    std::optional<std::uint64_t> push(std::uint64_t id, protocol::Priority priority,
                                      const CapacityOf &capacityOf);

    /// Puts a sub-request that was granted before in front of its priority again.
    void pushFront(std::uint64_t id, protocol::Priority priority);

    /// Puts waiting work before all other of its priority.
    void moveToFront(std::uint64_t id, protocol::Priority priority);

    /// Takes the next sub-request in the order of grants for which @p isReady holds.
    std::optional<std::uint64_t> pop(const std::function<bool(std::uint64_t)> &isReady);

    /// Removes a sub-request that no longer waits for a grant.
    void remove(std::uint64_t id, protocol::Priority priority);

    std::size_t size() const;

private:
    std::deque<std::uint64_t> &lineOf(protocol::Priority priority);

    std::array<std::deque<std::uint64_t>, protocol::PriorityNames.size()> lines_;
    std::uint64_t grants_ = 0;
};

} // namespace persimmon::state
