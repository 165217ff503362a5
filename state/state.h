#pragma once

#include "state/cluster_view.h"
#include "state/crash_tracker.h"
#include "state/execution_queue.h"
#include "state/extra_load_budget.h"
#include "state/latency_record.h"
#include "state/ownership.h"
#include "state/replica_set.h"
#include "state/scheduler_actions.h"
#include "state/service_scheduler.h"
#include "state/unproven_gate.h"
#include "state/upstream_ramp.h"
