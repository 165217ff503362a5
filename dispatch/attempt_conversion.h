#pragma once

#include "dispatch/upstream_client.h"
#include "state/scheduler_actions.h"

namespace persimmon::dispatch {

/// @return the scheduler's form of the result of an execution on an upstream.
state::AttemptResult toAttemptResult(UpstreamClient::ExecuteResult result);

} // namespace persimmon::dispatch
