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
    /// @param enabled false allows the whole share at once, for measurements.
    UpstreamRamp(std::uint32_t coldLimit, std::uint32_t share, bool enabled);

    /// Takes changed settings. The limit is kept, cut to the new share.
    void configure(std::uint32_t coldLimit, std::uint32_t share);

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

    std::uint32_t limit() const { return limit_; }
    std::uint32_t share() const { return share_; }
    const LatencyRecord &latency() const { return latency_; }

private:
    std::uint32_t coldLimit_;
    std::uint32_t share_;
    bool enabled_;
    std::uint32_t limit_ = 1;
    std::uint32_t successes_ = 0;
    std::uint32_t slowAnswers_ = 0;
    std::string incarnation_;
    LatencyRecord latency_;
};

} // namespace persimmon::state
