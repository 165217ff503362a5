#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace persimmon::protocol {

/// Point in the history of the configuration service, of the host list or of the platform's store.
/// A service that is restored from an older copy starts a new era, in which it assigns revisions
/// that an earlier era has already assigned, so the era is compared first.
struct HistoryPosition
{
    /// From 1; 0 before the first read. A message without an era is of era 1.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    bool operator==(const HistoryPosition &) const = default;

    /// Not defaulted, as clang-tidy 14 takes the zero in a defaulted one for a null pointer.
    std::strong_ordering operator<=>(const HistoryPosition &other) const
    {
        if (era != other.era)
            return era <=> other.era;
        return revision <=> other.revision;
    }
};

/// @return the era to state in a message; a reader that knows nothing yet states the first one.
inline std::uint64_t statedEra(const HistoryPosition &position)
{
    return std::max<std::uint64_t>(1, position.era);
}

} // namespace persimmon::protocol
