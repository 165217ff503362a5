#include "state/execution_queue.h"

#include <algorithm>

namespace persimmon::state {

std::deque<std::uint64_t> &ExecutionQueue::lineOf(protocol::Priority priority)
{
    return lines_[static_cast<std::size_t>(priority)];
}

std::optional<std::uint64_t> ExecutionQueue::push(std::uint64_t id, protocol::Priority priority,
                                                  const CapacityOf &capacityOf)
{
    lineOf(priority).push_back(id);
    auto place = size();
    for (auto step = lines_.size(); step > static_cast<std::size_t>(priority); --step) {
        auto &line = lines_[step - 1];
        if (line.empty())
            continue;
        const auto last = line.back();
        if (place > std::max<std::size_t>(capacityOf(last), 1)) {
            line.pop_back();
            return last;
        }
        place -= line.size();
    }
    return std::nullopt;
}

void ExecutionQueue::pushFront(std::uint64_t id, protocol::Priority priority)
{
    lineOf(priority).push_front(id);
}

void ExecutionQueue::moveToFront(std::uint64_t id, protocol::Priority priority)
{
    remove(id, priority);
    pushFront(id, priority);
}

std::optional<std::uint64_t> ExecutionQueue::pop(const std::function<bool(std::uint64_t)> &isReady)
{
    const bool lowestFirst = (grants_ + 1) % LowestPriorityInterval == 0;
    for (std::size_t step = 0; step < lines_.size(); ++step) {
        auto &line = lines_[lowestFirst ? lines_.size() - 1 - step : step];
        const auto found = std::find_if(line.begin(), line.end(), isReady);
        if (found == line.end())
            continue;
        const auto id = *found;
        line.erase(found);
        ++grants_;
        return id;
    }
    return std::nullopt;
}

void ExecutionQueue::remove(std::uint64_t id, protocol::Priority priority)
{
    std::erase(lineOf(priority), id);
}

std::size_t ExecutionQueue::size() const
{
    std::size_t total = 0;
    for (const auto &line : lines_)
        total += line.size();
    return total;
}

} // namespace persimmon::state
