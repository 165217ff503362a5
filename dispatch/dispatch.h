#pragma once

#include "dispatch/attempt_conversion.h"
#include "dispatch/dispatch_error.h"
#include "dispatch/dispatch_hooks.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_server.h"
#include "dispatch/dispatch_session.h"
#include "dispatch/owned_service.h"
#include "dispatch/service_executor.h"
#include "dispatch/upstream_connections.h"
#include "dispatch/upstream_pool.h"
