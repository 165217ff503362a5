#include "dispatch/dispatch_session.h"

#include <algorithm>

namespace persimmon::dispatch {

DispatchSession::DispatchSession(std::shared_ptr<transport::FrameConnection> connection)
    : connection_(std::move(connection))
{
}

void DispatchSession::add(std::uint64_t batch, OpenSub sub)
{
    const std::lock_guard lock(mutex_);
    batches_[batch].push_back(std::move(sub));
}

void DispatchSession::reply(std::uint64_t id, const protocol::SubResult &result)
{
    {
        const std::lock_guard lock(mutex_);
        const auto batch = batches_.find(result.batchId);
        if (batch != batches_.end()) {
            std::erase_if(batch->second, [id](const auto &sub) { return sub.id == id; });
            if (batch->second.empty())
                batches_.erase(batch);
        }
    }
    send(result);
}

std::vector<OpenSub> DispatchSession::find(std::uint64_t batch,
                                           const std::vector<std::string> &shards) const
{
    const std::lock_guard lock(mutex_);
    const auto found = batches_.find(batch);
    if (found == batches_.end())
        return {};
    auto subs = found->second;
    std::erase_if(subs, [&shards](const auto &sub) {
        return !shards.empty()
               && std::find(shards.begin(), shards.end(), sub.shard) == shards.end();
    });
    return subs;
}

std::vector<OpenSub> DispatchSession::all() const
{
    const std::lock_guard lock(mutex_);
    std::vector<OpenSub> subs;
    for (const auto &[batch, open] : batches_)
        subs.insert(subs.end(), open.begin(), open.end());
    return subs;
}

void DispatchSession::send(const protocol::FrameMessage &message)
{
    connection_->send(protocol::encodeFrame(message));
}

} // namespace persimmon::dispatch
