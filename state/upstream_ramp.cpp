#include "state/upstream_ramp.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// An answer slower than this many medians counts as slow.
constexpr int SlowFactor = 8;
/// Slow answers in a row that restart the ramp; a single one is only a straggling request.
constexpr std::uint32_t SlowAnswerLimit = 3;

} // namespace

UpstreamRamp::UpstreamRamp(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots,
                           bool enabled)
    : coldLimit_(coldLimit),
      share_(share),
      slots_(slots),
      enabled_(enabled)
{
    restart();
}

void UpstreamRamp::configure(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots)
{
    coldLimit_ = coldLimit;
    const bool takesOver = share > share_;
    share_ = share;
    slots_ = slots;
    warmth_ = std::min(warmth_, slots_);
    // The upstream may have restarted while its former owner used it, and executions of that owner
    // may still run.
    if (takesOver) {
        restart();
        warmth_ = 1;
    }
}

std::uint32_t UpstreamRamp::limit() const
{
    if (!enabled_)
        return share_;
    const auto cold = std::max(coldLimit_, 1U);
    const auto warmth = doubtful_ ? std::min(warmth_, cold) : warmth_;
    if (warmth >= slots_)
        return share_;
    const bool partOwner = share_ < slots_;
    return std::min({warmth, share_, partOwner ? cold : warmth});
}

void UpstreamRamp::onSuccess(const std::string &incarnation, Duration latency)
{
    onIncarnation(incarnation);
    doubtful_ = false;
    const auto median = latency_.median();
    slowAnswers_ = median && latency > *median * SlowFactor ? slowAnswers_ + 1 : 0;
    latency_.record(latency);
    if (slowAnswers_ >= SlowAnswerLimit) {
        restart();
        return;
    }
    if (warmth_ >= slots_ || ++successes_ < std::max(warmth_, coldLimit_))
        return;
    ++warmth_;
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
    warmth_ = std::max<std::uint32_t>(1, warmth_ / 2);
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
    warmth_ = std::clamp<std::uint32_t>(coldLimit_, 1, std::max(slots_, 1U));
    successes_ = 0;
    slowAnswers_ = 0;
}

} // namespace persimmon::state
