#include "coordination/audit_trail.h"

namespace persimmon::coordination {

void AuditTrail::add(state::ConfigChange change)
{
    const std::lock_guard lock(mutex_);
    rows_.push_back({std::chrono::system_clock::now(), std::move(change)});
    if (rows_.size() > Capacity)
        rows_.pop_front();
}

std::vector<AuditRow> AuditTrail::rows() const
{
    const std::lock_guard lock(mutex_);
    return {rows_.begin(), rows_.end()};
}

} // namespace persimmon::coordination
