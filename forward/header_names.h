#pragma once

#include <string>

namespace persimmon::forward {

/// Names of the HTTP header fields that this tier exchanges with callers and upstreams. Each
/// deployment defines its own.
struct HeaderNames
{
    /// Id of one attempt of a caller's request; upstreams echo it.
    std::string requestId;
    /// Time that the sender waits for the response, in milliseconds.
    std::string timeLeft;
    /// Signature of an upstream's response.
    std::string signature;
    /// Id of the upstream that must execute the request.
    std::string expectedInstance;
    /// Present in the response of an upstream that did not execute the request.
    std::string notExecuted;
    /// Requests per second that an upstream accepts from all hosts together.
    std::string requestLimit;
    /// Present in the responses of an upstream that is shutting down.
    std::string leaving;
    /// Comma-separated signatures of the parts of a gathered response.
    std::string partSignatures;
    /// Number of shards that are missing in a gathered response.
    std::string missingParts;
};

} // namespace persimmon::forward
