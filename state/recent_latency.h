#pragma once

#include "state/latency_record.h"

#include <cstdint>

namespace persimmon::state {

/// Typical latency of the last few attempts at one upstream. The long record needs hundreds of
/// answers to follow an upstream that becomes slow; the median of five follows after three and
/// ignores a single straggling answer.
class RecentLatency
{
public:
    /// Adds the latency of an answer. One far below the median ends the memory of a slow phase.
    void record(Duration latency);

    /// Adds an attempt that was given up after @p latency. It says only that the latency is at
    /// least this long, so that it counts only when it is above the median.
    void recordUnfinished(Duration latency);

    /// @return the median of the last attempts, or nothing before the first.
    std::optional<Duration> median() const;

private:
    static constexpr std::size_t Window = 5;

    void push(Duration latency);

    std::array<Duration, Window> latencies_{};
    std::size_t count_ = 0;
    std::size_t next_ = 0;
};

} // namespace persimmon::state
