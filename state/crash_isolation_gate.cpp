#include "state/crash_isolation_gate.h"

#include <algorithm>

namespace persimmon::state {

bool CrashIsolationGate::mayStart(std::uint64_t fingerprint, bool unproven,
                                  const CrashTracker &crashes) const
{
    if (crashes.isSuspect(fingerprint)) {
        return std::none_of(inFlight_.begin(), inFlight_.end(), [&crashes](const auto &execution) {
            return crashes.isSuspect(execution.first);
        });
    }
    return !unproven || proven_.contains(fingerprint) || !inFlight_.contains(fingerprint);
}

void CrashIsolationGate::onEnded(std::uint64_t fingerprint)
{
    const auto found = inFlight_.find(fingerprint);
    if (found != inFlight_.end() && --found->second == 0)
        inFlight_.erase(found);
}

void CrashIsolationGate::markProven(std::uint64_t fingerprint)
{
    if (!proven_.insert(fingerprint).second)
        return;
    provenOrder_.push_back(fingerprint);
    if (provenOrder_.size() <= ProvenCapacity)
        return;
    proven_.erase(provenOrder_.front());
    provenOrder_.pop_front();
}

} // namespace persimmon::state
