#include "state/service_timing.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// Execution time that is assumed before enough answers were observed.
constexpr std::chrono::milliseconds AssumedExecutionTime{5};
/// Delay of a hedge before enough answers were observed.
constexpr std::chrono::milliseconds AssumedHedgeDelay{50};
constexpr std::chrono::milliseconds LeastHedgeDelay{5};
/// Bound of the queue when the observed execution time is tiny.
constexpr double LargestQueue = 10'000;

} // namespace

Duration ServiceTiming::hedgeDelay(std::optional<Duration> nearMedian) const
{
    const Duration observed = latency_.quantile(policy_.quantile).value_or(AssumedHedgeDelay);
    const Duration typical = latency_.median().value_or(Duration(0));
    const auto beyond = nearMedian.value_or(typical) * (policy_.leastMedians - 1);
    const auto least = typical + std::chrono::duration_cast<Duration>(beyond);
    return std::max<Duration>({observed, LeastHedgeDelay, least});
}

std::size_t ServiceTiming::servable(std::size_t slots, TimePoint deadline, TimePoint now) const
{
    const auto median = latency_.median().value_or(AssumedExecutionTime);
    // The last round must begin one execution time before the deadline.
    const auto rounds = std::chrono::duration<double>(deadline - now) / median - 1;
    const auto capacity = static_cast<double>(slots) * std::max(rounds, 0.0);
    return static_cast<std::size_t>(std::min(capacity, LargestQueue));
}

bool ServiceTiming::isTooLate(TimePoint arrivedAt, TimePoint deadline, TimePoint now) const
{
    // An answer after the deadline is of no use to anyone. Work that has lost little of its time to
    // waiting runs in any case, so that a record of slow answers cannot keep all work out forever.
    const Duration median = latency_.median().value_or(AssumedExecutionTime);
    return deadline - now < std::min<Duration>(median, (deadline - arrivedAt) / 2);
}

} // namespace persimmon::state
