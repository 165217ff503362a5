#include "standin/execution_log.h"

namespace persimmon::standin {

namespace {

/// Limits memory use in long load tests; the oldest request is evicted.
constexpr std::size_t MaxRequestIds = 200'000;

} // namespace

void ExecutionLog::record(const std::string &upstream, const protocol::ExecuteRequest &request)
{
    ++total_;
    ++counters(upstream).executions;
    auto &records = executionsByRequest_[request.requestId];
    if (records.empty())
        requestOrder_.push_back(request.requestId);
    records.push_back({upstream, request.shard, request.attempt, request.snapshot});
    if (requestOrder_.size() <= MaxRequestIds)
        return;
    executionsByRequest_.erase(requestOrder_.front());
    requestOrder_.pop_front();
}

std::vector<ExecutionRecord> ExecutionLog::executions(const std::string &requestId) const
{
    const auto found = executionsByRequest_.find(requestId);
    return found == executionsByRequest_.end() ? std::vector<ExecutionRecord>{} : found->second;
}

} // namespace persimmon::standin
