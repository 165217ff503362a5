#pragma once

#include "tests/support/raw_http.h"
#include "tests/system/http_client.h"

#include <atomic>
#include <string>

namespace persimmon::tests {

/// Stands between the daemons of a Cluster and its configuration service. Names one upstream in
/// place of the first replica of each shard of the service trial-field.
class ConfigServiceProxy
{
public:
    /// @param upstreamAddress the upstream to name.
    explicit ConfigServiceProxy(std::string upstreamAddress);

    std::string address() const { return server_.address(); }

    /// Sets the address of the configuration service itself.
    void setOrigin(const std::string &address) { origin_ = address; }

    /// Sends @p response to all further requests, in place of the service's.
    void replaceResponses(const RawResponse &response);

private:
    RawResponse handle(const std::string &request);
    std::string replaceUpstreams(const std::string &body) const;

    const std::string upstreamAddress_;
    std::string origin_;
    std::atomic<bool> isReplaced_ = false;
    RawResponse replacement_;
    HttpClient client_;
    RawUpstream server_;
};

} // namespace persimmon::tests
