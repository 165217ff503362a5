#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace persimmon::transport {

/// Thread-safe histogram of durations from 1 us to 100 s in logarithmic bins 5% wide.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(std::chrono::nanoseconds duration);

    /// @param fraction quantile, 0 to 1.
    /// @return the upper edge of the bin that contains the quantile; zero when the histogram is
    /// empty.
    std::chrono::nanoseconds quantile(double fraction) const;

    std::uint64_t count() const;
    std::chrono::nanoseconds sum() const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

} // namespace persimmon::transport
