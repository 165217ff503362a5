#include "state/proven_fingerprint_cache.h"

#include <algorithm>

namespace persimmon::state {

ProvenFingerprintCache::ProvenFingerprintCache(std::size_t capacity)
    : segmentCapacity_(std::max<std::size_t>(1, capacity / SegmentCount))
{
}

bool ProvenFingerprintCache::isProven(std::uint64_t fingerprint)
{
    auto &segment = segmentOf(fingerprint);
    const std::lock_guard lock(segment.mutex);
    const auto found = segment.positions.find(fingerprint);
    if (found == segment.positions.end())
        return false;
    segment.order.splice(segment.order.begin(), segment.order, found->second);
    return true;
}

void ProvenFingerprintCache::markProven(std::uint64_t fingerprint)
{
    auto &segment = segmentOf(fingerprint);
    const std::lock_guard lock(segment.mutex);
    if (segment.positions.contains(fingerprint))
        return;
    segment.order.push_front(fingerprint);
    segment.positions.emplace(fingerprint, segment.order.begin());
    if (segment.order.size() <= segmentCapacity_)
        return;
    segment.positions.erase(segment.order.back());
    segment.order.pop_back();
}

} // namespace persimmon::state
