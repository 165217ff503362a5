#pragma once

#include "state/canary_gate.h"
#include "state/cluster_view.h"
#include "state/epoch_clock.h"
#include "state/fingerprint.h"
#include "state/idempotency_store.h"
#include "state/ownership.h"
#include "state/query_merge.h"
#include "state/query_planner.h"
#include "state/request_id.h"
#include "state/snapshot_token.h"
