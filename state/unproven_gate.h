#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace persimmon::state {

/// Allows one unproven execution of a fingerprint at a time.
class UnprovenGate
{
public:
    /// Fingerprints that are remembered as proven.
    static constexpr std::size_t ProvenCapacity = 1024;

    /// @return whether @p id may run now: the fingerprint is proven, or no other id holds it.
    bool isOpenFor(std::uint64_t fingerprint, std::uint64_t id) const;

    /// Notes that @p id runs.
    void enter(std::uint64_t fingerprint, std::uint64_t id);

    /// Notes that @p id has ended.
    /// @param proven whether an upstream answered.
    void leave(std::uint64_t fingerprint, std::uint64_t id, bool proven);

private:
    std::map<std::uint64_t, std::uint64_t> holders_;
    std::set<std::uint64_t> proven_;
    std::deque<std::uint64_t> provenOrder_;
};

} // namespace persimmon::state
