#include "state/link_health.h"

#include <algorithm>

namespace persimmon::state {

void LinkHealth::onReceived(TimePoint now)
{
    lastReceived_ = now;
    overdue_ = 0;
    suspect_ = false;
}

void LinkHealth::onOverdue(TimePoint sentAt)
{
    // The dispatcher has sent a frame since then, so it is alive and only the shard is slow.
    if (lastReceived_ >= sentAt)
        return;
    ++overdue_;
    suspect_ = suspect_ || overdue_ >= SuspectThreshold;
}

bool LinkHealth::shouldHedge(TimePoint sentAt, TimePoint dueAt, Duration limit, TimePoint now) const
{
    const bool responsive = !suspect_ && lastReceived_ > now - MinHedgeDelay;
    const bool delayed = now - dueAt > MaxTimerDelay;
    return (!responsive && !delayed) || now >= sentAt + limit / HedgeDeadlineDivisor;
}

Duration LinkHealth::hedgeDelay(Duration limit) const
{
    const auto maxDelay = limit / HedgeDeadlineDivisor;
    const auto percentile = latencies_.percentile95();
    if (!percentile)
        return maxDelay;
    return std::min(maxDelay, std::max<Duration>(MinHedgeDelay, *percentile * HedgeLatencyFactor));
}

} // namespace persimmon::state
