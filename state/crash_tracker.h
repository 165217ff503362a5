#pragma once

#include "state/latency_record.h"

#include <cstdint>
#include <map>

namespace persimmon::state {

/// Counts lost connections for each fingerprint.
class CrashTracker
{
public:
    /// Losses that quarantine a fingerprint, on the same upstream or on two.
    static constexpr std::uint32_t LossLimit = 2;
    /// Losses and quarantines are forgotten after this time.
    static constexpr std::chrono::minutes QuarantineTime{10};

    /// Counts one loss.
    /// @return whether this loss quarantines the fingerprint.
    bool onLoss(std::uint64_t fingerprint, TimePoint now);

    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;

private:
    struct Losses
    {
        std::uint32_t count = 0;
        TimePoint last;
    };

    std::map<std::uint64_t, Losses> losses_;
};

} // namespace persimmon::state
