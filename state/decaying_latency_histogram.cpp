#include "state/decaying_latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace persimmon::state {

namespace {

constexpr std::chrono::microseconds FirstBinEdge{50};
/// 144 bins, each 9.5% wider than the previous one, cover 50 us to 24 s.
constexpr double BinGrowth = 1.095;
constexpr std::uint32_t DecayInterval = 256;
/// With fewer samples the quantiles would be noise.
constexpr double MinWeight = 10;

} // namespace

void DecayingLatencyHistogram::record(Duration latency)
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

std::optional<Duration> DecayingLatencyHistogram::quantile(double fraction) const
{
    if (weight_ < MinWeight)
        return std::nullopt;
    double cumulative = 0;
    std::size_t bin = 0;
    for (; bin < BinCount - 1; ++bin) {
        cumulative += bins_[bin];
        if (cumulative >= fraction * weight_)
            break;
    }
    const auto edge = std::chrono::duration<double>(FirstBinEdge)
                      * std::pow(BinGrowth, static_cast<double>(bin));
    return std::chrono::duration_cast<Duration>(edge);
}

} // namespace persimmon::state
