#include "state/upstream_ramp.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// An answer slower than this many medians counts as slow.
constexpr int SlowFactor = 8;
/// Consecutive slow answers that reset the ramp; a single one may be a slow request.
constexpr std::uint32_t SlowAnswerLimit = 3;

} // namespace

UpstreamRamp::UpstreamRamp(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots,
                           bool enabled)
    : coldLimit_(coldLimit),
      share_(share),
      slots_(slots),
      enabled_(enabled)
{
    reset();
}

void UpstreamRamp::configure(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots)
{
    coldLimit_ = coldLimit;
    const bool shareGrows = share > share_;
    share_ = share;
    slots_ = slots;
    warmLimit_ = std::min(warmLimit_, slots_);
    // The upstream may have restarted while the previous owner used it, and executions of that
    // owner may still be running.
    if (shareGrows) {
        reset();
        warmLimit_ = 1;
    }
}

std::uint32_t UpstreamRamp::limit() const
{
    if (!enabled_)
        return share_;
    const auto cold = std::max(coldLimit_, 1U);
    const auto warmLimit = mayHaveRestarted_ ? std::min(warmLimit_, cold) : warmLimit_;
    if (warmLimit >= slots_)
        return share_;
    const bool isSecondaryOwner = share_ < slots_;
    return std::min({warmLimit, share_, isSecondaryOwner ? cold : warmLimit});
}

void UpstreamRamp::onSuccess(const std::string &incarnation, Duration latency)
{
    onIncarnation(incarnation);
    mayHaveRestarted_ = false;
    const auto median = latency_.median();
    slowAnswersInRow_ = median && latency > *median * SlowFactor ? slowAnswersInRow_ + 1 : 0;
    latency_.record(latency);
    if (slowAnswersInRow_ >= SlowAnswerLimit) {
        reset();
        return;
    }
    if (warmLimit_ >= slots_ || ++successes_ < std::max(warmLimit_, coldLimit_))
        return;
    ++warmLimit_;
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
    warmLimit_ = std::max<std::uint32_t>(1, warmLimit_ / 2);
    successes_ = 0;
}

void UpstreamRamp::onIncarnation(const std::string &incarnation)
{
    if (incarnation.empty() || incarnation == incarnation_)
        return;
    if (!incarnation_.empty())
        reset();
    incarnation_ = incarnation;
}

void UpstreamRamp::reset()
{
    warmLimit_ = std::clamp<std::uint32_t>(coldLimit_, 1, std::max(slots_, 1U));
    successes_ = 0;
    slowAnswersInRow_ = 0;
}

} // namespace persimmon::state
