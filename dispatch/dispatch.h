#pragma once

#include "dispatch/attempt_conversion.h"
#include "dispatch/dispatch_error.h"
#include "dispatch/dispatch_hooks.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_server.h"
#include "dispatch/dispatch_session.h"
#include "dispatch/json_service_executor.h"
#include "dispatch/service_executor.h"
#include "dispatch/upstream_client.h"
#include "dispatch/upstream_connection_pool.h"
