#include "state/crash_tracker.h"

namespace persimmon::state {

bool CrashTracker::onLoss(std::uint64_t fingerprint, const std::string &upstream,
                          TimePoint startedAt, TimePoint now)
{
    std::erase_if(losses_,
                  [now](const auto &row) { return now - row.second.last >= QuarantineTime; });
    auto &losses = losses_[fingerprint];
    if (losses.upstream == upstream && startedAt < losses.last)
        return false;
    losses.last = now;
    losses.upstream = upstream;
    return ++losses.count == LossLimit;
}

bool CrashTracker::isQuarantined(std::uint64_t fingerprint, TimePoint now) const
{
    const auto found = losses_.find(fingerprint);
    return found != losses_.end() && found->second.count >= LossLimit
           && now - found->second.last < QuarantineTime;
}

} // namespace persimmon::state
