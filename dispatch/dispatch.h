#pragma once

#include "dispatch/dispatch_error.h"
#include "dispatch/upstream_connections.h"
#include "dispatch/upstream_pool.h"
