#pragma once

#include "state/latency_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace persimmon::state {

/// The next time at which each of many sub-requests needs attention.
class DueTimes
{
public:
    /// Sets the time of @p id in place of an earlier one.
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

    /// @return the earliest time, if there is any.
    std::optional<TimePoint> next() const
    {
        return byTime_.empty() ? std::nullopt : std::optional(byTime_.begin()->first);
    }

    /// Takes the earliest out if its time has come.
    /// @return its id.
    std::optional<std::uint64_t> takeDue(TimePoint now)
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
