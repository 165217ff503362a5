#pragma once

#include "protocol/protocol.h"
#include "transport/transport.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmon::dispatch {

/// A sub-request that has not been answered yet.
struct PendingSubRequest
{
    /// Id in the dispatcher, unique among its sub-requests.
    std::uint64_t id = 0;
    std::string service;
    std::string shard;
};

/// A connection from an entry, with its pending sub-requests. Callable from any thread.
class DispatchSession
{
public:
    explicit DispatchSession(std::shared_ptr<transport::FrameConnection> connection);

    /// Registers a pending sub-request of the batch @p batchId.
    void add(std::uint64_t batchId, PendingSubRequest subRequest);

    /// Sends the result of the sub-request @p id and removes it from the pending ones.
    void reply(std::uint64_t id, const protocol::SubResult &result);

    /// @param shards shards to select; empty selects all.
    /// @return the pending sub-requests of a batch.
    std::vector<PendingSubRequest> findPending(std::uint64_t batchId,
                                               const std::vector<std::string> &shards) const;

    /// @return the pending sub-requests of all batches.
    std::vector<PendingSubRequest> allPending() const;

    void send(const protocol::FrameMessage &message);
    void close() { connection_->close(); }

    /// Whether the peer has sent its Hello. Accessed on the connection's strand only.
    bool helloReceived = false;

private:
    std::shared_ptr<transport::FrameConnection> connection_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, std::vector<PendingSubRequest>> pendingByBatch_;
};

} // namespace persimmon::dispatch
