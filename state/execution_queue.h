#pragma once

#include "protocol/priority.h"
#include "state/latency_record.h"

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

    /// @param limit executions that may run at the same time.
    /// @param median observed execution time, if known.
    /// @return sub-requests that can be executed within @p timeLeft.
    static std::size_t capacity(std::size_t limit, std::optional<Duration> median,
                                Duration timeLeft);

    /// Adds a sub-request.
    /// @param capacity how many can be served within the deadline; at least one is kept.
    /// @return the sub-request that is refused for it: the newest of the lowest priority, which may
    ///         be @p id itself; nothing while the queue is not full.
    std::optional<std::uint64_t> push(std::uint64_t id, protocol::Priority priority,
                                      std::size_t capacity);

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
