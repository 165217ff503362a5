#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstddef>

namespace persimmon::state {

constexpr double DefaultHedgeQuantile = 0.95;

/// Determines when an attempt without an answer is hedged.
struct HedgePolicy
{
    /// Quantile of the observed latencies that serves as the delay.
    double quantile = DefaultHedgeQuantile;
    /// Minimum delay in medians of near upstreams. Even in a steady service 5% of the answers
    /// exceed the 95th percentile; hedging all of these would use up a small budget.
    double minMedians = 2;
};

/// Observed execution times of a service, and the hedge delays and queue limits derived from them.
class ServiceTiming
{
public:
    void setHedgePolicy(const HedgePolicy &policy) { policy_ = policy; }

    void record(Duration latency) { latency_.record(latency); }

    /// @return median execution time, or std::nullopt before enough answers.
    std::optional<Duration> medianTime() const { return latency_.median(); }

    /// @param nearMedian median execution time at near upstreams.
    /// @return delay from the start of an attempt to its hedge.
    Duration hedgeDelay(std::optional<Duration> nearMedian) const;

    /// @param slots number of concurrent executions.
    /// @return number of queued sub-requests that can be served before @p deadline.
    std::size_t queueCapacity(std::size_t slots, TimePoint deadline, TimePoint now) const;

    /// @return whether work that starts now is expected to miss its deadline.
    bool wouldMissDeadline(TimePoint queuedAt, TimePoint deadline, TimePoint now) const;

private:
    DecayingLatencyHistogram latency_;
    HedgePolicy policy_;
};

} // namespace persimmon::state
