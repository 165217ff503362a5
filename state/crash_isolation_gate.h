#pragma once

#include "state/crash_tracker.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace persimmon::state {

/// Restricts the concurrent executions of one service, so that the crash of an upstream can be
/// attributed to one fingerprint. An unproven fingerprint has at most one execution at a time, and
/// a suspect starts only while no suspect is running.
class CrashIsolationGate
{
public:
    /// Number of proven fingerprints that are kept.
    static constexpr std::size_t ProvenCapacity = 1024;

    /// @param unproven whether the entry has not received an answer to the fingerprint yet.
    /// @param crashes determines which fingerprints are suspects.
    /// @return whether an execution of @p fingerprint may start now.
    bool mayStart(std::uint64_t fingerprint, bool unproven, const CrashTracker &crashes) const;

    /// Records the start of an execution.
    void onStarted(std::uint64_t fingerprint) { ++inFlight_[fingerprint]; }

    /// Records the end of an execution.
    void onEnded(std::uint64_t fingerprint);

    /// Records that an upstream answered an unproven fingerprint.
    void markProven(std::uint64_t fingerprint);

private:
    std::map<std::uint64_t, std::uint32_t> inFlight_;
    std::set<std::uint64_t> proven_;
    std::deque<std::uint64_t> provenOrder_;
};

} // namespace persimmon::state
