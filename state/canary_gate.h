#pragma once

#include "state/epoch_clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <list>
#include <mutex>
#include <unordered_map>

namespace persimmon::state {

/// Longest time that a canary holds the other shards back.
inline constexpr std::chrono::milliseconds MaxCanaryHold{50};

/// The hold is at most the deadline divided by this number.
inline constexpr int CanaryDeadlineShare = 4;

/// Remembers the fingerprints that an upstream has answered, in a bounded LRU.
class CanaryGate
{
public:
    /// @param capacity fingerprints kept; the least recently used one is dropped first.
    explicit CanaryGate(std::size_t capacity = 65536);

    /// @return whether @p fingerprint has been answered before; marks it as used.
    bool isProven(std::uint64_t fingerprint);

    /// Records that an upstream answered @p fingerprint.
    void markProven(std::uint64_t fingerprint);

    /// @return index of the shard that gets the canary; the same on every entry.
    static std::size_t canaryShard(std::uint64_t fingerprint, std::size_t shards)
    {
        return static_cast<std::size_t>(fingerprint % shards);
    }

    /// @return how long the other shards wait for the canary.
    static Duration holdTime(Duration deadline)
    {
        return std::min<Duration>(MaxCanaryHold, deadline / CanaryDeadlineShare);
    }

private:
    using Order = std::list<std::uint64_t>;

    struct Part
    {
        std::mutex mutex;
        Order order;
        std::unordered_map<std::uint64_t, Order::iterator> places;
    };

    static constexpr std::size_t PartCount = 16;

    Part &partOf(std::uint64_t fingerprint) { return parts_[(fingerprint >> 32U) % PartCount]; }

    const std::size_t partCapacity_;
    std::array<Part, PartCount> parts_;
};

} // namespace persimmon::state
