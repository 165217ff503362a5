#pragma once

#include "state/view_store.h"

#include <chrono>
#include <deque>
#include <mutex>

namespace persimmon::coordination {

/// One row of the audit trail.
struct AuditRow
{
    std::chrono::system_clock::time_point time;
    state::ConfigChange change;
};

/// The last changes of the configuration, accepted and rejected. Thread-safe.
class AuditTrail
{
public:
    /// Rows that are kept.
    static constexpr std::size_t Capacity = 1000;

    void add(state::ConfigChange change);

    /// @return the rows, oldest first.
    std::vector<AuditRow> rows() const;

private:
    mutable std::mutex mutex_;
    std::deque<AuditRow> rows_;
};

} // namespace persimmon::coordination
