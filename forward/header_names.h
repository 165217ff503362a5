#pragma once

#include <string>

namespace persimmon::forward {

/// Names of the header fields that callers and upstreams exchange with this tier. The protocol of a
/// deployment sets them.
struct HeaderNames
{
    /// Id of one attempt of a caller; upstreams echo it.
    std::string requestId;
    /// Milliseconds that the sender will wait.
    std::string timeLeft;
    /// What an upstream signs its answer with.
    std::string signature;
    /// Id of the upstream that is to execute the request.
    std::string expectedInstance;
    /// Present when an upstream did not execute the request.
    std::string notExecuted;
    /// Signatures of the parts of a gathered answer, separated by commas.
    std::string partSignatures;
    /// Number of shards that a gathered answer leaves out.
    std::string missingParts;
};

} // namespace persimmon::forward
