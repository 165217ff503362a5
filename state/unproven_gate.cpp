#include "state/unproven_gate.h"

#include <algorithm>

namespace persimmon::state {

bool UnprovenGate::isOpenFor(std::uint64_t fingerprint, bool unproven,
                             const CrashTracker &crashes) const
{
    if (crashes.isSuspect(fingerprint)) {
        return std::none_of(running_.begin(), running_.end(),
                            [&crashes](const auto &row) { return crashes.isSuspect(row.first); });
    }
    return !unproven || proven_.contains(fingerprint) || !running_.contains(fingerprint);
}

void UnprovenGate::leave(std::uint64_t fingerprint)
{
    const auto running = running_.find(fingerprint);
    if (running != running_.end() && --running->second == 0)
        running_.erase(running);
}

void UnprovenGate::markProven(std::uint64_t fingerprint)
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
