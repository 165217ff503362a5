#pragma once

#include "state/crash_tracker.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace persimmon::state {

/// Decides for one service which executions may run at the same time, so that the crash of an
/// upstream can be blamed on one fingerprint. An unproven fingerprint runs once at a time. A
/// suspect runs only while no suspect does.
class UnprovenGate
{
public:
    /// Fingerprints that are remembered as proven.
    static constexpr std::size_t ProvenCapacity = 1024;

    /// @param crashes tells which fingerprints are suspects.
    /// @param unproven whether the entry has not seen an answer to the fingerprint.
    /// @return whether an execution of @p fingerprint may start now.
    bool isOpenFor(std::uint64_t fingerprint, bool unproven, const CrashTracker &crashes) const;

    /// Notes that an execution has started.
    void enter(std::uint64_t fingerprint) { ++running_[fingerprint]; }

    /// Notes that an execution has ended.
    void leave(std::uint64_t fingerprint);

    /// Notes that an upstream answered an unproven fingerprint.
    void markProven(std::uint64_t fingerprint);

private:
    std::map<std::uint64_t, std::uint32_t> running_;
    std::set<std::uint64_t> proven_;
    std::deque<std::uint64_t> provenOrder_;
};

} // namespace persimmon::state
