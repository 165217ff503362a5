#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::standin {

/// Active faults of one upstream.
struct UpstreamFaults
{
    /// Factor on the execution time of slow responses.
    double slowFactor = 1;
    /// Added to the execution time of slow responses.
    std::chrono::milliseconds slowDelay{0};
    /// Fraction of responses that are slow, 0 to 1.
    double slowShare = 1;
    /// Sheds all requests.
    bool shed = false;
    /// Refuses all requests as draining.
    bool draining = false;
    /// Accepts connections and requests without ever responding.
    bool silent = false;
    /// Refuses requests for the newest snapshot as missing.
    bool lagging = false;
    /// Reported instead of the actual health state.
    std::optional<std::string> falseHealth;
    /// Reported instead of the actual number of running and of queued requests.
    std::optional<std::uint32_t> falseLoad;
};

} // namespace persimmon::standin
