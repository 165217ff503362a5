#pragma once

#include "protocol/protocol.h"
#include "state/link_health.h"
#include "transport/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace persimmon::entry {

/// Called with each result of a batch, on the strand of the link.
using ResultHandler = std::function<void(const protocol::SubResult &)>;

/// Settings and callbacks shared by all links of an entry.
struct LinkOptions
{
    /// @return the Hello to send on a new connection.
    std::function<protocol::Hello()> makeHello;
    /// Called with the configuration revision in messages from dispatchers.
    std::function<void(std::uint64_t)> onPeerRevision;
    /// Called for each result that matches no pending sub-request.
    std::function<void()> onUnmatchedResult;
    /// Limit for connecting, and then for receiving the Hello of the peer.
    std::chrono::milliseconds connectTimeout{250};
    /// Minimum delay before reconnecting after a connection has failed.
    std::chrono::milliseconds reconnectDelay{500};
    /// A non-repeatable batch is sent only on a connection that has received data within this time.
    std::chrono::milliseconds maxSilence{1000};
};

/// Frame connection to one dispatcher, opened on demand. Callable from any thread.
class DispatcherLink : public std::enable_shared_from_this<DispatcherLink>
{
public:
    DispatcherLink(transport::Runtime &runtime, transport::Endpoint endpoint,
                   std::shared_ptr<const LinkOptions> options);

    /// Sends @p batch. @p handler is called once for each sub-request that is not cancelled: with
    /// the result from the dispatcher, or on failure with ConnectionLost and the outcome NotRun if
    /// the batch was certainly not written, Unknown otherwise.
    void send(protocol::Batch batch, ResultHandler handler);

    /// Cancels sub-requests at the dispatcher; their results are ignored from now on.
    void cancel(std::uint64_t batchId, std::vector<std::string> shards);

    /// Connects if the link is down, so that a suspect link can recover.
    void probe();

    /// Reports that a shard sent at @p sentAt has no answer after its hedge delay.
    void reportOverdue(transport::TimePoint sentAt);

    /// @return whether new work should go to another dispatcher.
    bool isSuspect() const;

    /// @param limit time limit of the query.
    /// @return the time after which a shard without an answer is hedged.
    transport::Duration hedgeDelay(transport::Duration limit) const;

    /// @return whether a shard that was sent at @p sentAt and has no answer should be hedged now.
    bool shouldHedge(transport::TimePoint sentAt, transport::TimePoint dueAt,
                     transport::Duration limit) const;

    /// Closes the connection.
    void close();

private:
    enum class Phase { Down, Connecting, Open };

    struct PendingBatch
    {
        protocol::Batch batch;
        ResultHandler handler;
        /// Shards without a result.
        std::set<std::string> shards;
        bool written = false;
        transport::TimePoint sentAt{};
    };

    void writeBatch(std::uint64_t batchId);
    void connect();
    boost::asio::awaitable<void> connectAsync();
    boost::asio::awaitable<void>
    enforceHelloTimeout(std::shared_ptr<transport::FrameConnection> connection);
    void onFrame(const std::string &payload);
    void onHello(const protocol::Hello &hello);
    void onResult(const protocol::SubResult &result);
    void onConnectionLost(const std::string &reason);
    void failBatch(std::uint64_t batchId);

    transport::Runtime &runtime_;
    const transport::Endpoint endpoint_;
    const std::shared_ptr<const LinkOptions> options_;
    const boost::asio::any_io_executor strand_;
    Phase phase_ = Phase::Down;
    transport::TimePoint reconnectAt_{};
    std::shared_ptr<transport::FrameConnection> connection_;
    std::map<std::uint64_t, PendingBatch> pendingBatches_;
    /// Guards health_, which queries read from their own strands.
    mutable std::mutex healthMutex_;
    state::LinkHealth health_;
};

} // namespace persimmon::entry
