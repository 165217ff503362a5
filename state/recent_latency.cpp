#include "state/recent_latency.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// An answer this many times faster than the median shows that a slow phase has ended.
constexpr int RecoveryFactor = 3;

} // namespace

void RecentLatency::record(Duration latency)
{
    const auto currentMedian = median();
    if (currentMedian && latency * RecoveryFactor < *currentMedian) {
        count_ = 0;
        next_ = 0;
    }
    push(latency);
}

void RecentLatency::recordUnfinished(Duration latency)
{
    const auto currentMedian = median();
    if (!currentMedian || latency > *currentMedian)
        push(latency);
}

std::optional<Duration> RecentLatency::median() const
{
    if (count_ == 0)
        return std::nullopt;
    auto sorted = latencies_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count_ / 2);
    std::nth_element(sorted.begin(), middle, end);
    return *middle;
}

void RecentLatency::push(Duration latency)
{
    latencies_[next_] = latency;
    next_ = (next_ + 1) % Window;
    count_ = std::min(count_ + 1, Window);
}

} // namespace persimmon::state
