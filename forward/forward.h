#pragma once

#include "forward/answer_check.h"
#include "forward/forward_pool.h"
#include "forward/forward_request.h"
#include "forward/front_server.h"
#include "forward/header_names.h"
#include "forward/parse_error.h"
#include "forward/request_forwarder.h"
#include "forward/service_set.h"
