#pragma once

#include "coordination/audit_trail.h"
#include "transport/transport.h"

#include <functional>

namespace persimmon::coordination {

/// A view store under a lock, with the audit trail and the log lines of its changes.
class SharedViewStore
{
public:
    /// @param part prefix of the log lines.
    SharedViewStore(std::string host, std::string part);

    /// Calls @p merge with the store under the lock and records the changes that it returns.
    /// @return whether the view changed.
    bool update(const std::function<state::ViewUpdate(state::ViewStore &)> &merge);

    /// Calls @p read with the store under the lock.
    template <typename Reader>
    auto read(Reader read)
    {
        const std::lock_guard lock(mutex_);
        return read(store_);
    }

    /// @return the current view.
    std::shared_ptr<const state::ClusterView> view();

    const AuditTrail &audit() const { return audit_; }

private:
    void record(const state::ConfigChange &change);

    std::string part_;
    std::mutex mutex_;
    state::ViewStore store_;
    AuditTrail audit_;
};

} // namespace persimmon::coordination
