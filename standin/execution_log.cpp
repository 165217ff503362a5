#include "standin/execution_log.h"

namespace persimmon::standin {

namespace {

/// Bounds the memory of long load runs.
constexpr std::size_t MaxRequestIds = 200'000;

} // namespace

void ExecutionLog::record(const std::string &upstream, const protocol::ExecuteRequest &request)
{
    ++total_;
    ++counters(upstream).executions;
    auto &records = byRequest_[request.requestId];
    if (records.empty())
        order_.push_back(request.requestId);
    records.push_back({upstream, request.shard, request.attempt, request.snapshot});
    if (order_.size() <= MaxRequestIds)
        return;
    byRequest_.erase(order_.front());
    order_.pop_front();
}

std::vector<ExecutionRecord> ExecutionLog::executions(const std::string &requestId) const
{
    const auto found = byRequest_.find(requestId);
    return found == byRequest_.end() ? std::vector<ExecutionRecord>{} : found->second;
}

} // namespace persimmon::standin
