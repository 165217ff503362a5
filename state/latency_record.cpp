#include "state/latency_record.h"

#include <algorithm>
#include <cmath>

namespace persimmon::state {

namespace {

constexpr std::chrono::microseconds FirstBinEdge{50};
/// 144 bins, each 9.5% wider than the one before, reach from 50 us to 24 s.
constexpr double BinGrowth = 1.095;
constexpr std::uint32_t DecayInterval = 256;
/// Quantiles of fewer latencies would be noise.
constexpr double LeastWeight = 10;

} // namespace

void LatencyRecord::record(Duration latency)
{
    const auto ratio =
            std::chrono::duration<double>(latency) / std::chrono::duration<double>(FirstBinEdge);
    const auto position = ratio <= 1 ? 0 : std::ceil(std::log(ratio) / std::log(BinGrowth));
    ++bins_[std::min<std::size_t>(static_cast<std::size_t>(position), BinCount - 1)];
    ++weight_;
    if (++sinceDecay_ < DecayInterval)
        return;
    sinceDecay_ = 0;
    weight_ /= 2;
    for (auto &bin : bins_)
        bin /= 2;
}

std::optional<Duration> LatencyRecord::quantile(double fraction) const
{
    if (weight_ < LeastWeight)
        return std::nullopt;
    double seen = 0;
    std::size_t bin = 0;
    for (; bin < BinCount - 1; ++bin) {
        seen += bins_[bin];
        if (seen >= fraction * weight_)
            break;
    }
    const auto edge = std::chrono::duration<double>(FirstBinEdge)
                      * std::pow(BinGrowth, static_cast<double>(bin));
    return std::chrono::duration_cast<Duration>(edge);
}

} // namespace persimmon::state
