#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::standin {

/// Faults that are switched on at one upstream.
struct UpstreamFaults
{
    /// Multiplies the execution time of slow answers.
    double factor = 1;
    /// Added to the execution time of slow answers.
    std::chrono::milliseconds delay{0};
    /// Share of answers that are slow, 0 to 1.
    double slowShare = 1;
    bool shed = false;
    bool draining = false;
    /// Connections are accepted and never answered.
    bool silent = false;
    /// Lacks the newest snapshot.
    bool lagging = false;
    /// Reported in place of the real state or load.
    std::optional<std::string> falseHealth;
    std::optional<std::uint32_t> falseLoad;
};

} // namespace persimmon::standin
