#include "dispatch/dispatch_metrics.h"

namespace persimmon::dispatch {

DispatchMetrics::DispatchMetrics(transport::Metrics &metrics)
    : sheds_(metrics.counter("persimmon_dispatch_sheds_total",
                             "Attempts that an upstream refused because of overload.")),
      lost_(metrics.counter("persimmon_dispatch_lost_total",
                            "Attempts whose connection was lost after the request was written.")),
      queueTime_(
              metrics.latency("persimmon_dispatch_queue_seconds",
                              "Time between the arrival of a sub-request and its first attempt.")),
      executionTime_(metrics.latency("persimmon_dispatch_execution_seconds",
                                     "Duration of answered attempts."))
{
    for (const auto &row : state::AttemptKindNames) {
        started_[static_cast<std::size_t>(row.value)] =
                &metrics.counter("persimmon_dispatch_executions_total", "Attempts by kind.",
                                 "kind=\"" + std::string(row.name) + "\"");
    }
    for (const auto &row : protocol::SubOutcomeNames) {
        replies_[static_cast<std::size_t>(row.value)] =
                &metrics.counter("persimmon_dispatch_replies_total", "Sub-requests by outcome.",
                                 "outcome=\"" + std::string(row.name) + "\"");
    }
}

void DispatchMetrics::onStarted(state::AttemptKind kind)
{
    started_[static_cast<std::size_t>(kind)]->add();
}

void DispatchMetrics::onEnded(state::AttemptEnd end, transport::Duration executionTime)
{
    if (end == state::AttemptEnd::Answered)
        executionTime_.record(executionTime);
    if (end == state::AttemptEnd::Shed)
        sheds_.add();
    if (end == state::AttemptEnd::Lost)
        lost_.add();
}

void DispatchMetrics::onReply(protocol::SubOutcome outcome)
{
    replies_[static_cast<std::size_t>(outcome)]->add();
}

} // namespace persimmon::dispatch
