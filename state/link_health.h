#pragma once

#include "state/latency_record.h"

namespace persimmon::state {

/// Shortest hedge delay; below it a pause of the scheduler would look like a silent dispatcher.
inline constexpr std::chrono::milliseconds LeastHedgeDelay{25};

/// A shard is hedged after this multiple of the observed 95th percentile of its link.
inline constexpr int HedgeLatencyFactor = 3;

/// The hedge delay is at most the time limit of the query divided by this number.
inline constexpr int HedgeDeadlineShare = 3;

/// Overdue shards on a link without any sign of life that make the link suspect.
inline constexpr int SuspectShards = 3;

/// What an entry observes of the link to one dispatcher. Not thread-safe.
class LinkHealth
{
public:
    /// Records any frame from the dispatcher, which clears the suspicion.
    void onReceived(TimePoint now);

    /// Records the time from sending a shard to its answer.
    void onAnswer(Duration latency) { latencies_.record(latency); }

    /// Records that a shard sent at @p sentAt has no answer after its hedge delay.
    void onOverdue(TimePoint sentAt);

    /// Records that the connection was lost; the link is suspect until it delivers again.
    void onLost() { suspect_ = true; }

    /// @return whether new work should go to another dispatcher.
    bool isSuspect() const { return suspect_; }

    /// @param limit time limit of the query.
    /// @return how long a shard may stay without an answer before it is hedged.
    Duration hedgeDelay(Duration limit) const;

private:
    LatencyRecord latencies_;
    TimePoint lastReceived_ = TimePoint::min();
    int overdue_ = 0;
    bool suspect_ = false;
};

} // namespace persimmon::state
