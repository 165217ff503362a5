#pragma once

#include "protocol/protocol.h"
#include "transport/transport.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmon::dispatch {

/// A sub-request of a connection that is not answered yet.
struct OpenSub
{
    std::uint64_t id = 0;
    std::string service;
    std::string shard;
};

/// One connection of an entry and its unanswered sub-requests. Callable from any thread.
class DispatchSession
{
public:
    explicit DispatchSession(std::shared_ptr<transport::FrameConnection> connection);

    /// @param batch batch id.
    void add(std::uint64_t batch, OpenSub sub);

    /// Sends the result of a sub-request and forgets it.
    void reply(std::uint64_t id, const protocol::SubResult &result);

    /// @param shards shards to look for; none means all.
    /// @return the unanswered sub-requests of a batch.
    std::vector<OpenSub> find(std::uint64_t batch, const std::vector<std::string> &shards) const;

    /// @return all unanswered sub-requests.
    std::vector<OpenSub> all() const;

    void send(const protocol::FrameMessage &message);
    void close() { connection_->close(); }

    /// Whether the peer has sent its Hello; used on the connection's strand only.
    bool greeted = false;

private:
    std::shared_ptr<transport::FrameConnection> connection_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, std::vector<OpenSub>> batches_;
};

} // namespace persimmon::dispatch
