#pragma once

#include "state/scheduler_actions.h"
#include "transport/transport.h"

#include <array>

namespace persimmon::dispatch {

/// The metrics of the dispatcher.
class DispatchMetrics
{
public:
    explicit DispatchMetrics(transport::Metrics &metrics);

    void onStarted(state::AttemptKind kind);
    void onEnded(state::AttemptEnd end, transport::Duration executionTime);
    void onFirstAttempt(transport::Duration queueTime) { queueTime_.record(queueTime); }
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
