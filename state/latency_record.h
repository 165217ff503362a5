#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace persimmon::state {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Quantiles of recent latencies. Older latencies lose half of their weight each 256 records, so
/// that the record follows an upstream whose speed changes.
class LatencyRecord
{
public:
    void record(Duration latency);

    /// @return the median, or nothing while too few latencies are recorded.
    std::optional<Duration> median() const { return quantile(0.5); }

    /// @return the 95th percentile, or nothing while too few latencies are recorded.
    std::optional<Duration> percentile95() const { return quantile(0.95); }

    /// @param fraction 0 to 1.
    /// @return the quantile, or nothing while too few latencies are recorded.
    std::optional<Duration> quantile(double fraction) const;

private:
    static constexpr std::size_t BinCount = 144;

    std::array<float, BinCount> bins_{};
    double weight_ = 0;
    std::uint32_t sinceDecay_ = 0;
};

} // namespace persimmon::state
