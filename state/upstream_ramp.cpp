#include "state/upstream_ramp.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// An answer slower than this many medians counts as slow.
constexpr int SlowFactor = 8;
/// Slow answers in a row that restart the ramp; a single one is only a straggling request.
constexpr std::uint32_t SlowAnswerLimit = 3;

} // namespace

UpstreamRamp::UpstreamRamp(std::uint32_t coldLimit, std::uint32_t share, bool enabled)
    : coldLimit_(coldLimit),
      share_(share),
      enabled_(enabled)
{
    restart();
}

void UpstreamRamp::configure(std::uint32_t coldLimit, std::uint32_t share)
{
    coldLimit_ = coldLimit;
    share_ = share;
    limit_ = enabled_ ? std::min(limit_, share_) : share_;
}

void UpstreamRamp::onSuccess(const std::string &incarnation, Duration latency)
{
    onIncarnation(incarnation);
    const auto median = latency_.median();
    slowAnswers_ = median && latency > *median * SlowFactor ? slowAnswers_ + 1 : 0;
    latency_.record(latency);
    if (slowAnswers_ >= SlowAnswerLimit) {
        restart();
        return;
    }
    if (limit_ >= share_ || ++successes_ < limit_)
        return;
    ++limit_;
    successes_ = 0;
}

void UpstreamRamp::onUnfinished(Duration latency)
{
    const auto median = latency_.median();
    if (median && latency > *median)
        latency_.record(latency);
}

void UpstreamRamp::onShed()
{
    if (!enabled_)
        return;
    limit_ = std::max<std::uint32_t>(1, limit_ / 2);
    successes_ = 0;
}

void UpstreamRamp::onIncarnation(const std::string &incarnation)
{
    if (incarnation.empty() || incarnation == incarnation_)
        return;
    if (!incarnation_.empty())
        restart();
    incarnation_ = incarnation;
}

void UpstreamRamp::restart()
{
    limit_ = enabled_ ? std::clamp<std::uint32_t>(coldLimit_, 1, std::max(share_, 1U)) : share_;
    successes_ = 0;
    slowAnswers_ = 0;
}

} // namespace persimmon::state
