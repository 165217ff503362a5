#pragma once

#include "state/latency_record.h"

#include <cstdint>
#include <string>

namespace persimmon::state {

/// How many executions one upstream gets at the same time. Starts at the cold limit and rises with
/// successes up to the share.
class UpstreamRamp
{
public:
    /// @param slots executions that a warm upstream runs at the same time.
    /// @param enabled false allows the whole share at once, for measurements.
    UpstreamRamp(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots, bool enabled);

    /// Takes changed settings. What is known of the warm-up is kept, unless the share grows.
    void configure(std::uint32_t coldLimit, std::uint32_t share, std::uint32_t slots);

    /// Notes a success and its latency.
    void onSuccess(const std::string &incarnation, Duration latency);

    /// Notes an attempt that was given up after @p latency without an answer. Without it the record
    /// of an upstream whose slow attempts lose against hedges would hold only its fast answers.
    void onUnfinished(Duration latency);

    /// Notes a refusal for load.
    void onShed();

    /// Notes the incarnation that any reply carries; a changed one restarts the ramp.
    void onIncarnation(const std::string &incarnation);

    /// Starts again at the cold limit, for example after a connection reset.
    void restart();

    /// Notes that nothing was heard of the upstream for a while, so that it may have restarted. It
    /// stays at the cold limit until a success of the same incarnation shows that it has not.
    void doubt() { doubtful_ = true; }

    /// @return executions that may run at the same time. An owner of a part of the slots stays at
    ///         the cold limit until its own successes have warmed the upstream up: a warm-up that
    ///         two owners share is counted twice, and together they would exceed what it bears.
    std::uint32_t limit() const;
    std::uint32_t share() const { return share_; }
    const LatencyRecord &latency() const { return latency_; }

private:
    std::uint32_t coldLimit_;
    std::uint32_t share_;
    std::uint32_t slots_;
    bool enabled_;
    /// Executions that the upstream bears after this owner's successes.
    std::uint32_t warmth_ = 1;
    std::uint32_t successes_ = 0;
    std::uint32_t slowAnswers_ = 0;
    bool doubtful_ = false;
    std::string incarnation_;
    LatencyRecord latency_;
};

} // namespace persimmon::state
