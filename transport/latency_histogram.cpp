#include "transport/latency_histogram.h"

#include <boost/histogram.hpp>

#include <atomic>

namespace histogram = boost::histogram;

namespace persimmon::transport {

namespace {

constexpr double MinSeconds = 1e-6;
constexpr double MaxSeconds = 100;
/// ln(1e8) / ln(1.05) = 378 logarithmic bins, each 5% wide.
constexpr unsigned BinCount = 378;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using ThreadSafeCount = histogram::accumulators::count<std::uint64_t, true>;
using Storage = histogram::dense_storage<ThreadSafeCount>;
using Histogram =
        decltype(histogram::make_histogram_with(Storage(), Axis(BinCount, MinSeconds, MaxSeconds)));

std::chrono::nanoseconds fromSeconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(seconds));
}

} // namespace

struct LatencyHistogram::Data
{
    Histogram histogram =
            histogram::make_histogram_with(Storage(), Axis(BinCount, MinSeconds, MaxSeconds));
    std::atomic<std::uint64_t> count = 0;
    std::atomic<std::int64_t> sum = 0;
};

LatencyHistogram::LatencyHistogram() : data_(std::make_unique<Data>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(std::chrono::nanoseconds duration)
{
    data_->histogram(std::chrono::duration<double>(duration).count());
    data_->count.fetch_add(1, std::memory_order_relaxed);
    data_->sum.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::chrono::nanoseconds LatencyHistogram::quantile(double fraction) const
{
    const auto total = static_cast<double>(count());
    if (total == 0)
        return std::chrono::nanoseconds(0);
    double cumulative = 0;
    for (auto &&bin : histogram::indexed(data_->histogram, histogram::coverage::all)) {
        cumulative += static_cast<double>((*bin).value());
        if (cumulative >= fraction * total)
            return fromSeconds(std::min(bin.bin().upper(), MaxSeconds));
    }
    return fromSeconds(MaxSeconds);
}

std::uint64_t LatencyHistogram::count() const
{
    return data_->count.load(std::memory_order_relaxed);
}

std::chrono::nanoseconds LatencyHistogram::sum() const
{
    return std::chrono::nanoseconds(data_->sum.load(std::memory_order_relaxed));
}

} // namespace persimmon::transport
