#include "dispatch/dispatch_session.h"

#include <algorithm>

namespace persimmon::dispatch {

DispatchSession::DispatchSession(std::shared_ptr<transport::FrameConnection> connection)
    : connection_(std::move(connection))
{
}

void DispatchSession::add(std::uint64_t batchId, PendingSubRequest subRequest)
{
    const std::lock_guard lock(mutex_);
    pendingByBatch_[batchId].push_back(std::move(subRequest));
}

void DispatchSession::reply(std::uint64_t id, const protocol::SubResult &result)
{
    {
        const std::lock_guard lock(mutex_);
        const auto batch = pendingByBatch_.find(result.batchId);
        if (batch != pendingByBatch_.end()) {
            std::erase_if(batch->second,
                          [id](const auto &subRequest) { return subRequest.id == id; });
            if (batch->second.empty())
                pendingByBatch_.erase(batch);
        }
    }
    send(result);
}

std::vector<PendingSubRequest>
DispatchSession::findPending(std::uint64_t batchId, const std::vector<std::string> &shards) const
{
    const std::lock_guard lock(mutex_);
    const auto found = pendingByBatch_.find(batchId);
    if (found == pendingByBatch_.end())
        return {};
    auto selected = found->second;
    std::erase_if(selected, [&shards](const auto &subRequest) {
        return !shards.empty()
               && std::find(shards.begin(), shards.end(), subRequest.shard) == shards.end();
    });
    return selected;
}

std::vector<PendingSubRequest> DispatchSession::allPending() const
{
    const std::lock_guard lock(mutex_);
    std::vector<PendingSubRequest> all;
    for (const auto &[batchId, pending] : pendingByBatch_)
        all.insert(all.end(), pending.begin(), pending.end());
    return all;
}

void DispatchSession::send(const protocol::FrameMessage &message)
{
    connection_->send(protocol::encodeFrame(message));
}

} // namespace persimmon::dispatch
