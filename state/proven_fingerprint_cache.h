#pragma once

#include "state/epoch_clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <list>
#include <mutex>
#include <unordered_map>

namespace persimmon::state {

/// Maximum time that the other shards wait for the canary.
inline constexpr std::chrono::milliseconds MaxCanaryHold{50};

/// The wait is at most the time limit of the query divided by this number.
inline constexpr int CanaryDeadlineDivisor = 4;

/// Bounded LRU cache of the fingerprints that an upstream has answered. Thread-safe.
class ProvenFingerprintCache
{
public:
    /// @param capacity maximum number of fingerprints; the least recently used one is evicted.
    explicit ProvenFingerprintCache(std::size_t capacity = 65536);

    /// Marks @p fingerprint as recently used.
    /// @return whether it has been answered before.
    bool isProven(std::uint64_t fingerprint);

    /// Records that an upstream answered @p fingerprint.
    void markProven(std::uint64_t fingerprint);

    /// @return index of the shard that the canary is sent to; the same on every entry.
    static std::size_t canaryShard(std::uint64_t fingerprint, std::size_t shards)
    {
        return static_cast<std::size_t>(fingerprint % shards);
    }

    /// @return the time that the other shards wait for the canary.
    static Duration holdTime(Duration timeLimit)
    {
        return std::min<Duration>(MaxCanaryHold, timeLimit / CanaryDeadlineDivisor);
    }

private:
    using Order = std::list<std::uint64_t>;

    struct Segment
    {
        std::mutex mutex;
        Order order;
        std::unordered_map<std::uint64_t, Order::iterator> positions;
    };

    static constexpr std::size_t SegmentCount = 16;

    Segment &segmentOf(std::uint64_t fingerprint)
    {
        return segments_[(fingerprint >> 32U) % SegmentCount];
    }

    const std::size_t segmentCapacity_;
    std::array<Segment, SegmentCount> segments_;
};

} // namespace persimmon::state
