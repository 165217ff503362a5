#pragma once

#include "state/latency_record.h"

#include <cstddef>

namespace persimmon::state {

constexpr double DefaultHedgeQuantile = 0.95;

/// What the observed execution times of a service say about hedges and waiting work.
class ServiceTiming
{
public:
    void setHedgeQuantile(double quantile) { hedgeQuantile_ = quantile; }

    void record(Duration latency) { latency_.record(latency); }

    /// @return median execution time, or nothing before enough answers.
    std::optional<Duration> typicalTime() const { return latency_.median(); }

    /// @return time after the start of an attempt after which it is hedged.
    Duration hedgeDelay() const;

    /// @param slots executions that run at the same time.
    /// @return how many waiting sub-requests can be served before @p deadline.
    std::size_t servable(std::size_t slots, TimePoint deadline, TimePoint now) const;

    /// @return whether work would be answered after its deadline if it started now.
    bool isTooLate(TimePoint arrivedAt, TimePoint deadline, TimePoint now) const;

private:
    LatencyRecord latency_;
    double hedgeQuantile_ = DefaultHedgeQuantile;
};

} // namespace persimmon::state
