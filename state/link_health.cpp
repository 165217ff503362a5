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
    // A dispatcher that has sent anything since then is alive; the shard itself is slow.
    if (lastReceived_ >= sentAt)
        return;
    ++overdue_;
    suspect_ = suspect_ || overdue_ >= SuspectShards;
}

Duration LinkHealth::hedgeDelay(Duration limit) const
{
    const auto most = limit / HedgeDeadlineShare;
    const auto percentile = latencies_.percentile95();
    if (!percentile)
        return most;
    return std::min(most, std::max<Duration>(LeastHedgeDelay, *percentile * HedgeLatencyFactor));
}

} // namespace persimmon::state
