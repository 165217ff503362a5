#pragma once

#include "forward/forward_request.h"
#include "state/gather_run.h"
#include "state/routing_config.h"

#include <string>
#include <vector>

namespace persimmon::forward {

/// Response to a caller, and what the log line of the request says of it.
struct CallerReply
{
    CallerResponse response;
    std::string outcome;
    std::vector<transport::LogField> fields;
    /// Why this host cannot serve the request although another one may; empty otherwise.
    std::string hostRefusal = {};
};

/// Retry-After value when no estimate is available.
inline constexpr std::chrono::milliseconds DefaultRetryAfter{300};
inline constexpr std::chrono::milliseconds MinRetryAfter{50};

/// @return a refusal of a request that no upstream has executed or will.
/// @param wait time after which the caller may return; a random part is added.
CallerReply refuseCaller(const std::string &reason, transport::Duration wait);

/// @return a refusal of a request that another host may serve.
CallerReply refuseOnThisHost(const std::string &reason, transport::Duration wait);

/// @return a failure that does not state whether the request was executed.
CallerReply failCaller(int status, const std::string &reason);

/// @return the merged response of a gathered request that is complete or partial.
CallerReply makeGatheredReply(const HeaderNames &names, const std::string &requestId,
                              const state::GatherSettings &gather, const state::GatherRun &run);

/// @return the first few shards without a result and their errors, for log messages.
std::string describeMissingShards(const state::GatherRun &run,
                                  const std::vector<std::string> &shards);

} // namespace persimmon::forward
