#pragma once

#include "transport/transport.h"

#include <atomic>

namespace persimmon::coordination {

/// Detects pauses of the process from gaps between the ticks of its event loop. Thread-safe.
class LagMonitor
{
public:
    /// Time between two ticks.
    static constexpr std::chrono::milliseconds TickInterval{100};
    /// A longer gap is a pause: the view may be out of date.
    static constexpr std::chrono::milliseconds PauseLimit{1000};

    explicit LagMonitor(transport::TimePoint now) : lastTick_(now) {}

    /// @return whether the event loop was paused up to @p now.
    bool isLate(transport::TimePoint now) const { return now - lastTick_.load() > PauseLimit; }

    /// Notes a tick.
    /// @return whether it ends a pause.
    bool tick(transport::TimePoint now)
    {
        const auto before = lastTick_.exchange(now);
        return now - before > PauseLimit;
    }

private:
    std::atomic<transport::TimePoint> lastTick_;
};

} // namespace persimmon::coordination
