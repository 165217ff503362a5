#include "state/execution_queue.h"

#include <algorithm>

namespace persimmon::state {

std::deque<std::uint64_t> &ExecutionQueue::queueFor(protocol::Priority priority)
{
    return queues_[static_cast<std::size_t>(priority)];
}

std::optional<std::uint64_t> ExecutionQueue::push(std::uint64_t id, protocol::Priority priority,
                                                  const CapacityFunction &capacityFor)
{
    queueFor(priority).push_back(id);
    auto position = size();
    for (auto step = queues_.size(); step > static_cast<std::size_t>(priority); --step) {
        auto &queue = queues_[step - 1];
        if (queue.empty())
            continue;
        const auto last = queue.back();
        if (position > std::max<std::size_t>(capacityFor(last), 1)) {
            queue.pop_back();
            return last;
        }
        position -= queue.size();
    }
    return std::nullopt;
}

void ExecutionQueue::pushFront(std::uint64_t id, protocol::Priority priority)
{
    queueFor(priority).push_front(id);
}

void ExecutionQueue::moveToFront(std::uint64_t id, protocol::Priority priority)
{
    remove(id, priority);
    pushFront(id, priority);
}

std::optional<std::uint64_t> ExecutionQueue::pop(const std::function<bool(std::uint64_t)> &isReady)
{
    const bool lowestFirst = (popCount_ + 1) % LowestPriorityInterval == 0;
    for (std::size_t step = 0; step < queues_.size(); ++step) {
        auto &queue = queues_[lowestFirst ? queues_.size() - 1 - step : step];
        const auto found = std::find_if(queue.begin(), queue.end(), isReady);
        if (found == queue.end())
            continue;
        const auto id = *found;
        queue.erase(found);
        ++popCount_;
        return id;
    }
    return std::nullopt;
}

void ExecutionQueue::remove(std::uint64_t id, protocol::Priority priority)
{
    std::erase(queueFor(priority), id);
}

std::size_t ExecutionQueue::size() const
{
    std::size_t total = 0;
    for (const auto &queue : queues_)
        total += queue.size();
    return total;
}

} // namespace persimmon::state
