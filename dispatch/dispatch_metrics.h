#pragma once

#include "state/scheduler_actions.h"
#include "transport/transport.h"

#include <array>

namespace persimmon::dispatch {

/// Metrics of the dispatcher.
class DispatchMetrics
{
public:
    explicit DispatchMetrics(transport::Metrics &metrics);

    /// Counts a started attempt.
    void onStarted(state::AttemptKind kind);
    /// Records the result of an attempt; the time only of answered ones.
    void onEnded(state::AttemptEnd end, transport::Duration executionTime);
    /// Records the queue time of a sub-request.
    void onFirstAttempt(transport::Duration queueTime) { queueTime_.record(queueTime); }
    /// Counts an answered sub-request.
    void onReply(protocol::SubOutcome outcome);

private:
    std::array<transport::Counter *, state::AttemptKindNames.size()> started_{};
    std::array<transport::Counter *, protocol::SubOutcomeNames.size()> replies_{};
    transport::Counter &sheds_;
    transport::Counter &lost_;
    transport::LatencyHistogram &queueTime_;
    transport::LatencyHistogram &executionTime_;
};

} // namespace persimmon::dispatch
