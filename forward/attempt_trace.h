#pragma once

#include "state/crash_guard.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace persimmon::forward {

/// The attempts of one caller request at all services that it needs.
struct AttemptTrace
{
    /// Regions of the upstreams to which the request was sent.
    std::set<std::string> regions;
    std::uint32_t attempts = 0;
    /// Attempts that have been sent and have not ended.
    std::uint32_t running = 0;
    /// Whether an attempt that has ended may have executed.
    bool mayHaveExecuted = false;
    state::CrashGuard guard;
    /// Attempts that wait until a trial has ended.
    std::set<std::shared_ptr<transport::AsyncAutoResetEvent>> waiting;
    /// Wakes the coroutine that answers the caller.
    std::function<void()> wake = [] {};
    /// Whether the caller was answered or has left.
    bool finished = false;

    /// @return whether it is certain that no upstream has executed the request or will.
    bool isUnexecuted() const { return running == 0 && !mayHaveExecuted; }

    void wakeWaiting() const
    {
        for (const auto &event : waiting)
            event->notify();
    }
};

} // namespace persimmon::forward
