#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>
#include <string>

namespace persimmon::state {

/// Concurrency limit of one upstream with slow start: begins at the cold limit and increases with
/// each run of successes up to the share of this dispatcher.
class UpstreamRamp
{
public:
    /// @param coldLimit limit after a restart of the upstream.
    /// @param share executions that this dispatcher may have in flight at a warm upstream.
    /// @param slots executions that a warm upstream runs concurrently.
    /// @param enabled false allows the full share at once, for measurements.
    UpstreamRamp(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots, bool enabled);

    /// Applies changed settings. The warm-up progress is kept unless the share grows.
    void configure(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots);

    /// Records a success and its latency.
    void onSuccess(const std::string &incarnation, Duration latency);

    /// Records an attempt that was aborted after @p latency without an answer. Otherwise the
    /// latencies of an upstream whose slow attempts lose to hedges would include only fast answers.
    void onUnfinished(Duration latency);

    /// Handles a rejection because of load; halves the limit.
    void onShed();

    /// Records the incarnation that a reply carried; a change resets the ramp.
    void onIncarnation(const std::string &incarnation);

    /// Returns to the cold limit, for example after a connection reset.
    void reset();

    /// Records that the upstream was idle and may have restarted unnoticed. The cold limit applies
    /// until a success with the same incarnation shows that it has not.
    void onPossibleRestart() { mayHaveRestarted_ = true; }

    /// @return maximum number of concurrent executions. An owner with only part of the slots stays
    ///         at the cold limit until its own successes have fully warmed the upstream up: two
    ///         owners would otherwise both count the shared warm-up and together exceed the
    ///         capacity of the upstream.
    std::uint32_t limit() const;
    std::uint32_t share() const { return share_; }
    const DecayingLatencyHistogram &latency() const { return latency_; }

private:
    std::uint32_t coldLimit_;
    std::uint32_t share_;
    std::uint32_t slots_;
    bool enabled_;
    /// Concurrent executions that the upstream can handle, judged by this owner's successes.
    std::uint32_t warmLimit_ = 1;
    std::uint32_t successes_ = 0;
    std::uint32_t slowAnswersInRow_ = 0;
    bool mayHaveRestarted_ = false;
    std::string incarnation_;
    DecayingLatencyHistogram latency_;
};

} // namespace persimmon::state
