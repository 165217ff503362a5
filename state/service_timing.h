#pragma once

#include "state/latency_record.h"

#include <cstddef>

namespace persimmon::state {

constexpr double DefaultHedgeQuantile = 0.95;

/// When an attempt without an answer is hedged.
struct HedgePolicy
{
    /// Quantile of the observed latencies.
    double quantile = DefaultHedgeQuantile;
    /// Least delay in medians of near upstreams. In a steady service 5% of the answers are later
    /// than the 95th percentile, and hedges of these would use up a small budget.
    double leastMedians = 2;
};

/// What the observed execution times of a service say about hedges and waiting work.
class ServiceTiming
{
public:
    void setHedgePolicy(const HedgePolicy &policy) { policy_ = policy; }

    void record(Duration latency) { latency_.record(latency); }

    /// @return median execution time, or nothing before enough answers.
    std::optional<Duration> typicalTime() const { return latency_.median(); }

    /// @param nearMedian median execution time at near upstreams; for those the own median.
    /// @return time after the start of an attempt after which it is hedged.
    Duration hedgeDelay(std::optional<Duration> nearMedian) const;

    /// @param slots executions that run at the same time.
    /// @return how many waiting sub-requests can be served before @p deadline.
    std::size_t servable(std::size_t slots, TimePoint deadline, TimePoint now) const;

    /// @return whether work would be answered after its deadline if it started now.
    bool isTooLate(TimePoint arrivedAt, TimePoint deadline, TimePoint now) const;

private:
    LatencyRecord latency_;
    HedgePolicy policy_;
};

} // namespace persimmon::state
