#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>

namespace persimmon::state {

/// Median latency of the last few attempts at one upstream. A DecayingLatencyHistogram needs
/// hundreds of answers to reflect an upstream that becomes slow; the median of five does so after
/// three and ignores a single outlier.
class RecentLatency
{
public:
    /// Records the latency of an answer. One far below the median discards the earlier samples,
    /// since it shows that a slow phase has ended.
    void record(Duration latency);

    /// Records an attempt that was aborted after @p latency. This is only a lower bound of the
    /// latency, so it is ignored unless it exceeds the median.
    void recordUnfinished(Duration latency);

    /// @return the median of the last attempts, or std::nullopt before the first.
    std::optional<Duration> median() const;

private:
    static constexpr std::size_t Window = 5;

    void push(Duration latency);

    std::array<Duration, Window> latencies_{};
    std::size_t count_ = 0;
    std::size_t next_ = 0;
};

} // namespace persimmon::state
