#pragma once

#include "dispatch/upstream_pool.h"
#include "state/scheduler_actions.h"

namespace persimmon::dispatch {

/// @return how an attempt ended, from what the pool reports.
state::AttemptResult convertAttempt(UpstreamPool::ExecuteResult result);

} // namespace persimmon::dispatch
