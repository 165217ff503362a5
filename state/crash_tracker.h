#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace persimmon::state {

/// Counts the upstream crashes of one service during which each fingerprint was executing.
///
/// An answer resets the count: a crash closes the connections of all requests in flight, so a
/// popular query would otherwise be quarantined at the second crash of any upstream. Each service
/// has its own counts, since the loss of a failure domain stops one upstream of each service at
/// once.
class CrashTracker
{
public:
    /// Number of crashes, of the same or of different upstreams, that quarantine a fingerprint.
    static constexpr std::uint32_t CrashLimit = 2;
    /// Crashes and quarantines expire after this time.
    static constexpr std::chrono::minutes QuarantineTime{10};

    /// Counts a lost connection. Concurrent attempts on one upstream that one crash terminates
    /// count once.
    /// @param startedAt when the lost attempt was started.
    /// @return whether this loss quarantines the fingerprint.
    bool onLoss(std::uint64_t fingerprint, const std::string &upstream, TimePoint startedAt,
                TimePoint now);

    /// Resets the count of a fingerprint that an upstream has answered.
    void onAnswer(std::uint64_t fingerprint) { crashes_.erase(fingerprint); }

    /// @return whether a connection was lost during an execution of the fingerprint, with no answer
    ///         since.
    bool isSuspect(std::uint64_t fingerprint) const { return crashes_.contains(fingerprint); }

    /// @return whether the fingerprint has reached the limit and its quarantine has not expired.
    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;

private:
    struct Crashes
    {
        std::uint32_t count = 0;
        TimePoint last;
        std::string upstream;
    };

    std::map<std::uint64_t, Crashes> crashes_;
};

} // namespace persimmon::state
