#pragma once

#include "transport/transport.h"

#include <atomic>

namespace persimmon::coordination {

/// Detects pauses of the process by the gaps between periodic ticks of its event loop. Thread-safe.
class LagMonitor
{
public:
    /// Interval between two ticks.
    static constexpr std::chrono::milliseconds TickInterval{100};
    /// Gaps longer than this count as a pause, after which the view may be out of date.
    static constexpr std::chrono::milliseconds PauseThreshold{1000};

    explicit LagMonitor(transport::TimePoint now) : lastTick_(now) {}

    /// @return whether the event loop has been paused since the last tick.
    bool isPaused(transport::TimePoint now) const
    {
        return now - lastTick_.load() > PauseThreshold;
    }

    /// Records a tick.
    /// @return whether the tick ends a pause.
    bool tick(transport::TimePoint now)
    {
        const auto before = lastTick_.exchange(now);
        return now - before > PauseThreshold;
    }

private:
    std::atomic<transport::TimePoint> lastTick_;
};

} // namespace persimmon::coordination
