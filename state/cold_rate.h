#pragma once

#include "state/latency_record.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace persimmon::state {

/// Limits how many requests one upstream gets per second from this host while it is cold. Answers
/// the load of a replica that returns cold under full traffic.
class ColdRate
{
public:
    /// Length of the sliding window. Longer than a second, since requests that were sent apart may
    /// arrive closer together.
    static constexpr std::chrono::milliseconds Window{1200};

    /// An upstream that cannot be reached may come back cold within this time.
    static constexpr std::chrono::seconds SuspicionTime{6};

    /// @param until when the upstream is warm.
    /// @param perWindow requests that may start in each window while it is cold; nothing sets no
    ///        limit.
    void configure(TimePoint until, std::optional<std::uint32_t> perWindow);

    /// Notes that the upstream may restart; it counts as cold until confirmWarmUp() ends that, or
    /// SuspicionTime.
    void suspectRestart(TimePoint now) { suspectedUntil_ = now + SuspicionTime; }

    /// Takes the first answer after a suspected restart; the warm-up lasts until @p until.
    void confirmWarmUp(TimePoint until);

    bool isSuspected(TimePoint now) const { return now < suspectedUntil_; }
    bool isCold(TimePoint now) const
    {
        return perWindow_ && (now < suspectedUntil_ || now < until_);
    }
    bool mayStart(TimePoint now) const;
    void onStarted(TimePoint now);

    /// @return when the next request may start, if the limit holds it back now.
    std::optional<TimePoint> nextStart(TimePoint now) const;

private:
    TimePoint until_{};
    std::optional<std::uint32_t> perWindow_;
    TimePoint suspectedUntil_{};
    std::deque<TimePoint> starts_;
};

/// Divides a limit among hosts so that the parts add up to it without any message.
/// @param total limit of all hosts together.
/// @param hosts number of live hosts, this one included.
/// @param position of this host among them, from 0.
/// @return the part of this host; 0 for some hosts when there are more hosts than units.
std::uint32_t partOfLimit(std::uint32_t total, std::uint32_t hosts, std::uint32_t position);

} // namespace persimmon::state
