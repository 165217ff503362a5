#pragma once

#include "protocol/upstream_messages.h"
#include "transport/clock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::standin {

/// Execution that an upstream has started.
struct ExecutionRecord
{
    std::string upstream;
    std::string shard;
    std::uint64_t attempt = 0;
    std::uint64_t snapshot = 0;
};

/// Execution, refusal and fault counters of one upstream.
struct UpstreamCounters
{
    std::string failureDomain;
    std::uint64_t executions = 0;
    /// Maximum number of concurrent executions while warm.
    std::uint32_t peakWarm = 0;
    /// Maximum number of concurrent executions while cold.
    std::uint32_t peakCold = 0;
    /// Maximum number of requests that were running or queued at the same time.
    std::uint32_t peakLoad = 0;
    std::uint64_t crashes = 0;
    /// Crashes caused by too many requests while cold.
    std::uint64_t coldOverloads = 0;
    std::uint64_t refused = 0;
    /// Arrival time of the last execute request.
    std::optional<transport::TimePoint> lastRequest;
};

/// Records the executions of all upstreams by request id. Not thread-safe.
class ExecutionLog
{
public:
    /// @return the counters of @p upstream, which are created on first use.
    UpstreamCounters &counters(const std::string &upstream) { return upstreams_[upstream]; }
    const std::map<std::string, UpstreamCounters> &upstreams() const { return upstreams_; }

    /// Records that @p upstream has started to execute @p request.
    void record(const std::string &upstream, const protocol::ExecuteRequest &request);

    /// @return the executions of @p requestId, oldest first; empty if there are none or the request
    /// was evicted.
    std::vector<ExecutionRecord> executions(const std::string &requestId) const;

    /// @return number of executions of all upstreams.
    std::uint64_t total() const { return total_; }

private:
    std::map<std::string, UpstreamCounters> upstreams_;
    std::map<std::string, std::vector<ExecutionRecord>> executionsByRequest_;
    /// Request ids, oldest first, for eviction.
    std::deque<std::string> requestOrder_;
    std::uint64_t total_ = 0;
};

} // namespace persimmon::standin
