#pragma once

#include "coordination/audit_trail.h"
#include "transport/transport.h"

#include <functional>

namespace persimmon::coordination {

/// Thread-safe wrapper of state::ViewStore that logs configuration changes and records them in an
/// audit trail.
class SharedViewStore
{
public:
    /// @param part log part under which the messages appear.
    SharedViewStore(std::string host, std::string part);

    /// Calls @p merge with the store while holding the lock and records the changes it returns.
    /// @return whether the view changed.
    bool update(const std::function<state::ViewUpdate(state::ViewStore &)> &merge);

    /// Calls @p read with the store while holding the lock.
    /// @return the result of @p read.
    template <typename Reader>
    auto read(Reader read)
    {
        const std::lock_guard lock(mutex_);
        return read(store_);
    }

    std::shared_ptr<const state::ClusterView> view();

    const AuditTrail &audit() const { return audit_; }

private:
    void record(const state::ConfigChange &change);
    void logRestore(const state::RestoreEvent &restore);

    std::string part_;
    std::mutex mutex_;
    state::ViewStore store_;
    AuditTrail audit_;
};

} // namespace persimmon::coordination
