#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace persimmon::state {

/// Timers of many sub-requests, ordered by expiry; at most one for each.
class TimerQueue
{
public:
    /// Sets the timer of @p id; replaces an earlier one.
    void set(std::uint64_t id, TimePoint at)
    {
        remove(id);
        byId_[id] = at;
        byTime_.emplace(at, id);
    }

    void remove(std::uint64_t id)
    {
        const auto found = byId_.find(id);
        if (found == byId_.end())
            return;
        byTime_.erase({found->second, id});
        byId_.erase(found);
    }

    /// @return the earliest expiry, or std::nullopt if no timer is set.
    std::optional<TimePoint> nextExpiry() const
    {
        return byTime_.empty() ? std::nullopt : std::optional(byTime_.begin()->first);
    }

    /// Removes the earliest timer if it has expired.
    /// @return its id, or std::nullopt if no timer has expired.
    std::optional<std::uint64_t> popExpired(TimePoint now)
    {
        if (byTime_.empty() || byTime_.begin()->first > now)
            return std::nullopt;
        const auto id = byTime_.begin()->second;
        remove(id);
        return id;
    }

private:
    std::map<std::uint64_t, TimePoint> byId_;
    std::set<std::pair<TimePoint, std::uint64_t>> byTime_;
};

} // namespace persimmon::state
