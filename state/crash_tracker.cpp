#include "state/crash_tracker.h"

namespace persimmon::state {

bool CrashTracker::onLoss(std::uint64_t fingerprint, const std::string &upstream,
                          TimePoint startedAt, TimePoint now)
{
    std::erase_if(crashes_,
                  [now](const auto &entry) { return now - entry.second.last >= QuarantineTime; });
    auto &crashes = crashes_[fingerprint];
    if (crashes.upstream == upstream && startedAt < crashes.last)
        return false;
    crashes.last = now;
    crashes.upstream = upstream;
    return ++crashes.count == CrashLimit;
}

bool CrashTracker::isQuarantined(std::uint64_t fingerprint, TimePoint now) const
{
    const auto found = crashes_.find(fingerprint);
    return found != crashes_.end() && found->second.count >= CrashLimit
           && now - found->second.last < QuarantineTime;
}

} // namespace persimmon::state
