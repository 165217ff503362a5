#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace persimmon::state {

/// Sliding-window rate limiter for the requests of this host to one upstream while it is cold.
/// Protects a replica that restarts with cold caches under full traffic.
class ColdStartLimiter
{
public:
    /// Length of the sliding window. Longer than a second, since jitter may shorten the intervals
    /// between requests on the way.
    static constexpr std::chrono::milliseconds Window{1200};

    /// An upstream that could not be reached may return cold within this time.
    static constexpr std::chrono::seconds PossibleRestartTime{6};

    /// @param until time at which the upstream is warm.
    /// @param perWindow requests that may start in each window while it is cold; std::nullopt for
    ///        no limit.
    void configure(TimePoint until, std::optional<std::uint32_t> perWindow);

    /// Records that the upstream may be restarting; it counts as cold until onRestartConfirmed() is
    /// called, or for PossibleRestartTime.
    void onPossibleRestart(TimePoint now) { possibleRestartUntil_ = now + PossibleRestartTime; }

    /// Handles the first answer after a possible restart; the warm-up lasts until @p until.
    void onRestartConfirmed(TimePoint until);

    bool mayHaveRestarted(TimePoint now) const { return now < possibleRestartUntil_; }
    bool isCold(TimePoint now) const
    {
        return perWindow_ && (now < possibleRestartUntil_ || now < coldUntil_);
    }
    bool mayStart(TimePoint now) const;
    void onStarted(TimePoint now);

    /// @return when the next request may start, or std::nullopt if it may start now.
    std::optional<TimePoint> nextStart(TimePoint now) const;

private:
    TimePoint coldUntil_{};
    std::optional<std::uint32_t> perWindow_;
    TimePoint possibleRestartUntil_{};
    std::deque<TimePoint> starts_;
};

/// Divides a limit among hosts without coordination; the shares add up to the limit.
/// @param total combined limit of all hosts.
/// @param hosts number of live hosts, this one included.
/// @param position index of this host among them, from 0.
/// @return the share of this host; 0 for some hosts if there are more hosts than units.
std::uint32_t limitShare(std::uint32_t total, std::uint32_t hosts, std::uint32_t position);

} // namespace persimmon::state
