#include "state/cold_start_limiter.h"

#include <algorithm>

namespace persimmon::state {

void ColdStartLimiter::configure(TimePoint until, std::optional<std::uint32_t> perWindow)
{
    coldUntil_ = std::max(coldUntil_, until);
    perWindow_ = perWindow;
}

void ColdStartLimiter::onRestartConfirmed(TimePoint until)
{
    possibleRestartUntil_ = {};
    coldUntil_ = std::max(coldUntil_, until);
}

bool ColdStartLimiter::mayStart(TimePoint now) const
{
    return !nextStart(now);
}

void ColdStartLimiter::onStarted(TimePoint now)
{
    if (!perWindow_)
        return;
    starts_.push_back(now);
    while (starts_.size() > *perWindow_)
        starts_.pop_front();
}

std::optional<TimePoint> ColdStartLimiter::nextStart(TimePoint now) const
{
    if (!isCold(now) || starts_.size() < *perWindow_)
        return std::nullopt;
    if (*perWindow_ == 0)
        return std::max(coldUntil_, possibleRestartUntil_);
    // The oldest of the last perWindow_ starts must have left the window.
    const auto next = starts_[starts_.size() - *perWindow_] + Window;
    return next > now ? std::optional(next) : std::nullopt;
}

std::uint32_t limitShare(std::uint32_t total, std::uint32_t hosts, std::uint32_t position)
{
    if (hosts <= 1)
        return total;
    return total / hosts + (position < total % hosts ? 1 : 0);
}

} // namespace persimmon::state
