#include "state/unproven_gate.h"

namespace persimmon::state {

bool UnprovenGate::isOpenFor(std::uint64_t fingerprint, std::uint64_t id) const
{
    if (proven_.contains(fingerprint))
        return true;
    const auto holder = holders_.find(fingerprint);
    return holder == holders_.end() || holder->second == id;
}

void UnprovenGate::enter(std::uint64_t fingerprint, std::uint64_t id)
{
    holders_.try_emplace(fingerprint, id);
}

void UnprovenGate::leave(std::uint64_t fingerprint, std::uint64_t id, bool proven)
{
    const auto holder = holders_.find(fingerprint);
    if (holder != holders_.end() && holder->second == id)
        holders_.erase(holder);
    if (!proven || !proven_.insert(fingerprint).second)
        return;
    provenOrder_.push_back(fingerprint);
    if (provenOrder_.size() <= ProvenCapacity)
        return;
    proven_.erase(provenOrder_.front());
    provenOrder_.pop_front();
}

} // namespace persimmon::state
