#pragma once

#include "forward/forward_request.h"
#include "state/scheduler_actions.h"

namespace persimmon::forward {

using UpstreamResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Classifies a complete response of an upstream.
/// @param requestId id of the request that was sent on the connection.
/// @return the outcome of the attempt. A successful response without a signature or with an encoded
///         body, and a response with a different request id, are Dropped.
state::AttemptResult classifyResponse(UpstreamResponse response, const HeaderNames &names,
                                      const std::string &requestId);

} // namespace persimmon::forward
