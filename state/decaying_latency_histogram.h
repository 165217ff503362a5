#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace persimmon::state {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Latency histogram with exponential decay: all weights are halved every 256 samples, so that the
/// quantiles track an upstream whose speed changes.
class DecayingLatencyHistogram
{
public:
    void record(Duration latency);

    /// @return the median, or std::nullopt while there are too few samples.
    std::optional<Duration> median() const { return quantile(0.5); }

    /// @return the 95th percentile, or std::nullopt while there are too few samples.
    std::optional<Duration> percentile95() const { return quantile(0.95); }

    /// @param fraction 0 to 1.
    /// @return the quantile, or std::nullopt while there are too few samples.
    std::optional<Duration> quantile(double fraction) const;

private:
    static constexpr std::size_t BinCount = 144;

    std::array<float, BinCount> bins_{};
    double weight_ = 0;
    std::uint32_t sinceDecay_ = 0;
};

} // namespace persimmon::state
