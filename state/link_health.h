#pragma once

#include "state/decaying_latency_histogram.h"

namespace persimmon::state {

/// Minimum hedge delay. With a shorter one, a scheduling pause of the operating system would look
/// like an unresponsive dispatcher.
inline constexpr std::chrono::milliseconds MinHedgeDelay{25};

/// A hedge timer that expires later than this shows that the process itself was paused.
inline constexpr std::chrono::milliseconds MaxTimerDelay{10};

/// A shard is hedged after this multiple of the 95th percentile latency of its link.
inline constexpr int HedgeLatencyFactor = 3;

/// The hedge delay is at most the time limit of the query divided by this number.
inline constexpr int HedgeDeadlineDivisor = 3;

/// Number of overdue shards, with no frame received since, that marks the link as suspect.
inline constexpr int SuspectThreshold = 3;

/// Latency and failure detection for the link from an entry to one dispatcher. Not thread-safe.
class LinkHealth
{
public:
    /// Records the receipt of any frame from the dispatcher; clears the suspect state.
    void onReceived(TimePoint now);

    /// Records the time from sending a shard request to its answer.
    void onAnswer(Duration latency) { latencies_.record(latency); }

    /// Records that a shard request sent at @p sentAt has no answer after its hedge delay.
    void onOverdue(TimePoint sentAt);

    /// Decides whether a shard without an answer should be sent to another dispatcher as well.
    /// While the dispatcher answers other requests it hedges slow upstreams itself, and a second
    /// one would add executions beyond the share of both. If this process was delayed itself, the
    /// answer may be waiting to be read. Only a long delay overrides this.
    /// @param sentAt time at which the shard was sent.
    /// @param dueAt time at which the hedge was due.
    /// @param limit time limit of the query.
    bool shouldHedge(TimePoint sentAt, TimePoint dueAt, Duration limit, TimePoint now) const;

    /// Records the loss of the connection; the link is suspect until a frame is received.
    void onLost() { suspect_ = true; }

    /// @return whether new work should go to another dispatcher.
    bool isSuspect() const { return suspect_; }

    /// @param limit time limit of the query.
    /// @return delay from sending a shard request to its hedge.
    Duration hedgeDelay(Duration limit) const;

private:
    DecayingLatencyHistogram latencies_;
    TimePoint lastReceived_ = TimePoint::min();
    int overdue_ = 0;
    bool suspect_ = false;
};

} // namespace persimmon::state
