#pragma once

#include "state/latency_record.h"

#include <cstdint>
#include <map>
#include <string>

namespace persimmon::state {

/// Counts for one service the crashes of upstreams that each fingerprint was part of.
///
/// An answer clears the count: a crashed upstream takes the connections of all its running requests
/// down, so that a popular query would otherwise be quarantined by the second crash of any
/// upstream. The counts of services are kept apart, since the loss of a failure domain takes an
/// upstream of each service down at once.
class CrashTracker
{
public:
    /// Crashes that quarantine a fingerprint, of the same upstream or of two.
    static constexpr std::uint32_t LossLimit = 2;
    /// Losses and quarantines are forgotten after this time.
    static constexpr std::chrono::minutes QuarantineTime{10};

    /// Counts one lost connection. Attempts that ran at the same time on one upstream are lost by
    /// one crash and count once.
    /// @param startedAt when the lost attempt was started.
    /// @return whether this loss quarantines the fingerprint.
    bool onLoss(std::uint64_t fingerprint, const std::string &upstream, TimePoint startedAt,
                TimePoint now);

    /// Clears the count of a fingerprint that an upstream has answered.
    void onAnswer(std::uint64_t fingerprint) { losses_.erase(fingerprint); }

    /// @return whether a connection was lost while the fingerprint ran, and none answered since.
    bool isSuspect(std::uint64_t fingerprint) const { return losses_.contains(fingerprint); }

    /// @return whether the fingerprint reached the limit and the quarantine is not over.
    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;

private:
    struct Losses
    {
        std::uint32_t count = 0;
        TimePoint last;
        std::string upstream;
    };

    std::map<std::uint64_t, Losses> losses_;
};

} // namespace persimmon::state
