#include "state/canary_gate.h"

#include <algorithm>

namespace persimmon::state {

CanaryGate::CanaryGate(std::size_t capacity)
    : partCapacity_(std::max<std::size_t>(1, capacity / PartCount))
{
}

bool CanaryGate::isProven(std::uint64_t fingerprint)
{
    auto &part = partOf(fingerprint);
    const std::lock_guard lock(part.mutex);
    const auto found = part.places.find(fingerprint);
    if (found == part.places.end())
        return false;
    part.order.splice(part.order.begin(), part.order, found->second);
    return true;
}

void CanaryGate::markProven(std::uint64_t fingerprint)
{
    auto &part = partOf(fingerprint);
    const std::lock_guard lock(part.mutex);
    if (part.places.contains(fingerprint))
        return;
    part.order.push_front(fingerprint);
    part.places.emplace(fingerprint, part.order.begin());
    if (part.order.size() <= partCapacity_)
        return;
    part.places.erase(part.order.back());
    part.order.pop_back();
}

} // namespace persimmon::state
