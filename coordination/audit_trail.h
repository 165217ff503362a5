#pragma once

#include "state/view_store.h"

#include <chrono>
#include <deque>
#include <mutex>

namespace persimmon::coordination {

/// A configuration change and the time at which it was processed.
struct AuditRow
{
    std::chrono::system_clock::time_point time;
    state::ConfigChange change;
};

/// Bounded log of recent configuration changes, accepted and rejected. Thread-safe.
class AuditTrail
{
public:
    /// Maximum number of rows; the oldest row is discarded first.
    static constexpr std::size_t Capacity = 1000;

    void add(state::ConfigChange change);

    /// @return all rows, oldest first.
    std::vector<AuditRow> rows() const;

private:
    mutable std::mutex mutex_;
    std::deque<AuditRow> rows_;
};

} // namespace persimmon::coordination
