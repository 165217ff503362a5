#pragma once

#include "forward/attempt_trace.h"
#include "forward/forward_request.h"
#include "forward/forwarding_client.h"
#include "forward/frontend_server.h"
#include "forward/header_names.h"
#include "forward/parse_error.h"
#include "forward/receive_budget.h"
#include "forward/request_forwarder.h"
#include "forward/service_executors.h"
#include "forward/session_phase.h"
#include "forward/upstream_notice_parser.h"
#include "forward/upstream_response.h"
