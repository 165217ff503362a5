#pragma once

#include <chrono>
#include <cstdint>

namespace persimmon::state {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Duration of an epoch by the home's clock.
inline constexpr std::chrono::minutes EpochLength{5};

/// Number of epochs before the current one whose request ids are still accepted.
inline constexpr std::uint64_t PreviousEpochs = 2;

/// Computes the epoch number of one entry incarnation from the time since its start.
class EpochClock
{
public:
    explicit EpochClock(TimePoint start) : start_(start) {}

    /// @return the epoch at @p now; the first one is 0.
    std::uint64_t epochAt(TimePoint now) const
    {
        return now <= start_ ? 0 : static_cast<std::uint64_t>((now - start_) / EpochLength);
    }

private:
    TimePoint start_;
};

} // namespace persimmon::state
