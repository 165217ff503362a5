#include "state/service_timing.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// Execution time assumed until enough answers are recorded.
constexpr std::chrono::milliseconds AssumedExecutionTime{5};
/// Hedge delay used until enough answers are recorded.
constexpr std::chrono::milliseconds AssumedHedgeDelay{50};
constexpr std::chrono::milliseconds MinHedgeDelay{5};
/// Limits the queue when the observed execution time is tiny.
constexpr double MaxQueueCapacity = 10'000;

} // namespace

Duration ServiceTiming::hedgeDelay(std::optional<Duration> nearMedian) const
{
    const Duration observed = latency_.quantile(policy_.quantile).value_or(AssumedHedgeDelay);
    const Duration ownMedian = latency_.median().value_or(Duration(0));
    const auto extra = nearMedian.value_or(ownMedian) * (policy_.minMedians - 1);
    const auto minDelay = ownMedian + std::chrono::duration_cast<Duration>(extra);
    return std::max<Duration>({observed, MinHedgeDelay, minDelay});
}

std::size_t ServiceTiming::queueCapacity(std::size_t slots, TimePoint deadline, TimePoint now) const
{
    const auto median = latency_.median().value_or(AssumedExecutionTime);
    // The last round must start one execution time before the deadline.
    const auto rounds = std::chrono::duration<double>(deadline - now) / median - 1;
    const auto capacity = static_cast<double>(slots) * std::max(rounds, 0.0);
    return static_cast<std::size_t>(std::min(capacity, MaxQueueCapacity));
}

bool ServiceTiming::wouldMissDeadline(TimePoint queuedAt, TimePoint deadline, TimePoint now) const
{
    // An answer after the deadline is useless. Work that still has more than half of its time runs
    // in any case: otherwise recorded slow answers could block all work, and no faster answer would
    // ever correct the record.
    const Duration median = latency_.median().value_or(AssumedExecutionTime);
    return deadline - now < std::min<Duration>(median, (deadline - queuedAt) / 2);
}

} // namespace persimmon::state
