#pragma once

#include "protocol/upstream_messages.h"
#include "transport/clock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::standin {

/// One execution that an upstream started.
struct ExecutionRecord
{
    std::string upstream;
    std::string shard;
    std::uint64_t attempt = 0;
    std::uint64_t snapshot = 0;
};

/// Counters of one upstream.
struct UpstreamCounters
{
    std::string failureDomain;
    std::uint64_t executions = 0;
    std::uint32_t peakWarm = 0;
    std::uint32_t peakCold = 0;
    /// Most requests that ran or waited at the same time.
    std::uint32_t peakLoad = 0;
    std::uint64_t crashes = 0;
    std::uint64_t coldOverloads = 0;
    std::uint64_t refused = 0;
    /// Arrival of the last execute request.
    std::optional<transport::TimePoint> lastRequest;
};

/// Counts executions of all upstreams by request id. Used by one thread.
class ExecutionLog
{
public:
    /// Counters of @p upstream; made on first use.
    UpstreamCounters &counters(const std::string &upstream) { return upstreams_[upstream]; }
    const std::map<std::string, UpstreamCounters> &upstreams() const { return upstreams_; }

    /// Records the start of an execution.
    void record(const std::string &upstream, const protocol::ExecuteRequest &request);

    /// @return executions of @p requestId, oldest first.
    std::vector<ExecutionRecord> executions(const std::string &requestId) const;

    std::uint64_t total() const { return total_; }

private:
    std::map<std::string, UpstreamCounters> upstreams_;
    std::map<std::string, std::vector<ExecutionRecord>> byRequest_;
    /// Request ids, oldest first.
    std::deque<std::string> order_;
    std::uint64_t total_ = 0;
};

} // namespace persimmon::standin
