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

/// Gets each result of a batch; runs on the link's strand.
using ResultHandler = std::function<void(const protocol::SubResult &)>;

/// Hooks of all links of an entry.
struct LinkOptions
{
    std::function<protocol::Hello()> makeHello;
    /// Gets the configuration revision in a dispatcher's messages.
    std::function<void(std::uint64_t)> noteRevision;
    /// Called for each result that belongs to no open sub-request.
    std::function<void()> onUnmatched;
    /// Limit for connecting, and again for the peer's Hello.
    std::chrono::milliseconds connectTimeout{250};
    /// After a failed connection no new one is tried for this long.
    std::chrono::milliseconds reconnectDelay{500};
    /// A non-repeatable batch needs a connection that received something within this time.
    std::chrono::milliseconds freshness{1000};
};

/// The frame connection to one dispatcher, opened on demand. Callable from any thread.
class DispatcherLink : public std::enable_shared_from_this<DispatcherLink>
{
public:
    DispatcherLink(transport::Runtime &runtime, transport::Endpoint endpoint,
                   std::shared_ptr<const LinkOptions> options);

    /// Sends @p batch. Each sub-request gets one result: the dispatcher's, or ConnectionLost with
    /// NotRun when the batch was certainly never written and Unknown otherwise.
    void send(protocol::Batch batch, ResultHandler handler);

    /// Asks the dispatcher to end sub-requests and forgets them.
    void cancel(std::uint64_t batchId, std::vector<std::string> shards);

    /// Connects when the link is down, so that a suspect link can show that it delivers again.
    void probe();

    /// Notes that a shard sent at @p sentAt is without an answer after its hedge delay.
    void noteOverdue(transport::TimePoint sentAt);

    /// @return whether new work should go to another dispatcher.
    bool isSuspect() const;

    /// @param limit time limit of the query.
    /// @return how long a shard may stay without an answer before it is hedged.
    transport::Duration hedgeDelay(transport::Duration limit) const;

    /// Closes the connection.
    void close();

private:
    enum class Phase { Down, Connecting, Open };

    struct OpenBatch
    {
        protocol::Batch batch;
        ResultHandler handler;
        std::set<std::string> shards;
        bool written = false;
        transport::TimePoint sentAt{};
    };

    void sendNow(std::uint64_t batchId);
    void connect();
    boost::asio::awaitable<void> connectTask();
    boost::asio::awaitable<void> watchHello(std::shared_ptr<transport::FrameConnection> connection);
    void onFrame(const std::string &payload);
    void onHello(const protocol::Hello &hello);
    void onResult(const protocol::SubResult &result);
    void onLost(const std::string &reason);
    void fail(std::uint64_t batchId);

    transport::Runtime &runtime_;
    const transport::Endpoint endpoint_;
    const std::shared_ptr<const LinkOptions> options_;
    const boost::asio::any_io_executor strand_;
    Phase phase_ = Phase::Down;
    transport::TimePoint retryAt_{};
    std::shared_ptr<transport::FrameConnection> connection_;
    std::map<std::uint64_t, OpenBatch> open_;
    /// Guards health_, which queries read from their own strands.
    mutable std::mutex healthMutex_;
    state::LinkHealth health_;
};

} // namespace persimmon::entry
