#include "entry/dispatcher_link.h"

#include <boost/asio/post.hpp>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::Batch;
using protocol::SubResult;

namespace {

constexpr std::string_view Part = "entry";

std::string makeHeartbeat()
{
    return protocol::encodeFrame(protocol::Heartbeat{});
}

} // namespace

DispatcherLink::DispatcherLink(transport::Runtime &runtime, transport::Endpoint endpoint,
                               std::shared_ptr<const LinkOptions> options)
    : runtime_(runtime),
      endpoint_(std::move(endpoint)),
      options_(std::move(options)),
      strand_(runtime.makeStrand())
{
}

void DispatcherLink::send(Batch batch, ResultHandler handler)
{
    asio::post(strand_, [self = shared_from_this(), batch = std::move(batch),
                         handler = std::move(handler)]() mutable {
        const auto id = batch.batchId;
        PendingBatch pending{
                std::move(batch), std::move(handler), {}, false, self->runtime_.clock().now()};
        for (const auto &sub : pending.batch.subRequests)
            pending.shards.insert(sub.shard);
        self->pendingBatches_.emplace(id, std::move(pending));
        if (self->phase_ == Phase::Open) {
            self->writeBatch(id);
            return;
        }
        if (self->phase_ == Phase::Connecting)
            return;
        if (self->runtime_.clock().now() < self->reconnectAt_) {
            self->failBatch(id);
            return;
        }
        self->connect();
    });
}

void DispatcherLink::cancel(std::uint64_t batchId, std::vector<std::string> shards)
{
    asio::post(strand_, [self = shared_from_this(), batchId, shards = std::move(shards)] {
        const auto found = self->pendingBatches_.find(batchId);
        if (found == self->pendingBatches_.end())
            return;
        if (found->second.written && self->connection_)
            self->connection_->send(protocol::encodeFrame(protocol::Cancel{batchId, shards}));
        for (const auto &shard : shards)
            found->second.shards.erase(shard);
        if (found->second.shards.empty())
            self->pendingBatches_.erase(found);
    });
}

void DispatcherLink::probe()
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->phase_ == Phase::Down && self->runtime_.clock().now() >= self->reconnectAt_)
            self->connect();
    });
}

void DispatcherLink::reportOverdue(transport::TimePoint sentAt)
{
    const std::lock_guard lock(healthMutex_);
    health_.onOverdue(sentAt);
}

bool DispatcherLink::isSuspect() const
{
    const std::lock_guard lock(healthMutex_);
    return health_.isSuspect();
}

transport::Duration DispatcherLink::hedgeDelay(transport::Duration limit) const
{
    const std::lock_guard lock(healthMutex_);
    return health_.hedgeDelay(limit);
}

bool DispatcherLink::shouldHedge(transport::TimePoint sentAt, transport::TimePoint dueAt,
                                 transport::Duration limit) const
{
    const std::lock_guard lock(healthMutex_);
    return health_.shouldHedge(sentAt, dueAt, limit, runtime_.clock().now());
}

void DispatcherLink::close()
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->connection_)
            self->connection_->close();
    });
}

void DispatcherLink::writeBatch(std::uint64_t batchId)
{
    auto &pending = pendingBatches_.at(batchId);
    const bool isSilent = connection_->timeSinceReceived() > options_->maxSilence;
    if (isSilent && !pending.batch.repeatable) {
        failBatch(batchId);
        return;
    }
    pending.written = connection_->send(protocol::encodeFrame(pending.batch));
    if (!pending.written)
        failBatch(batchId);
}

void DispatcherLink::connect()
{
    phase_ = Phase::Connecting;
    // The coroutine starts later; until then only the completion handler holds a reference.
    asio::co_spawn(strand_, connectAsync(),
                   [self = shared_from_this()](const std::exception_ptr &) {});
}

asio::awaitable<void> DispatcherLink::connectAsync()
{
    const auto self = shared_from_this();
    transport::FrameOptions frames;
    frames.makeHeartbeat = makeHeartbeat;
    auto result = co_await transport::connectFrames(runtime_, endpoint_, options_->connectTimeout,
                                                    std::move(frames));
    if (!isOk(result)) {
        onConnectionLost(errorOf(result).message);
        co_return;
    }
    connection_ = takeValue(result);
    const auto connection = connection_;
    // The connection owns its handlers, so they must not hold references to it or to the link.
    const auto onStrand = [weak = weak_from_this(), raw = connection.get()](auto action) {
        const auto link = weak.lock();
        if (!link)
            return;
        asio::post(link->strand_, [link, raw, action = std::move(action)] {
            if (link->connection_.get() == raw)
                action(*link);
        });
    };
    connection->start(
            [onStrand](std::string payload) {
                onStrand([payload = std::move(payload)](auto &link) { link.onFrame(payload); });
            },
            [onStrand](const transport::TransportError &error) {
                onStrand([reason = error.message](auto &link) { link.onConnectionLost(reason); });
            });
    connection->send(protocol::encodeFrame(options_->makeHello()));
    co_await enforceHelloTimeout(connection);
}

asio::awaitable<void>
DispatcherLink::enforceHelloTimeout(std::shared_ptr<transport::FrameConnection> connection)
{
    const auto self = shared_from_this();
    co_await runtime_.clock().sleep(options_->connectTimeout);
    // Batches are sent only after the Hello, so those for a silent dispatcher fail with NotRun.
    if (connection_ == connection && phase_ == Phase::Connecting)
        onConnectionLost("timed out waiting for the Hello");
}

void DispatcherLink::onFrame(const std::string &payload)
{
    const auto message = protocol::decodeFrame(payload);
    if (!isOk(message)) {
        onConnectionLost("malformed frame: " + errorOf(message).message);
        return;
    }
    {
        const std::lock_guard lock(healthMutex_);
        health_.onReceived(runtime_.clock().now());
    }
    if (const auto *hello = std::get_if<protocol::Hello>(&valueOf(message)))
        onHello(*hello);
    else if (const auto *result = std::get_if<SubResult>(&valueOf(message)))
        onResult(*result);
}

void DispatcherLink::onHello(const protocol::Hello &hello)
{
    if (hello.version != protocol::FrameProtocolVersion) {
        onConnectionLost("the dispatcher uses another protocol version");
        return;
    }
    phase_ = Phase::Open;
    options_->onPeerRevision(hello.configRevision);
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, pending] : pendingBatches_) {
        if (!pending.written)
            waiting.push_back(id);
    }
    for (const auto id : waiting)
        writeBatch(id);
}

void DispatcherLink::onResult(const SubResult &result)
{
    options_->onPeerRevision(result.configRevision);
    const auto found = pendingBatches_.find(result.batchId);
    if (found == pendingBatches_.end() || !found->second.shards.contains(result.shard)
        || found->second.batch.snapshot != result.snapshot) {
        options_->onUnmatchedResult();
        return;
    }
    if (result.outcome == protocol::SubOutcome::Done) {
        const std::lock_guard lock(healthMutex_);
        health_.onAnswer(runtime_.clock().now() - found->second.sentAt);
    }
    const auto handler = found->second.handler;
    found->second.shards.erase(result.shard);
    if (found->second.shards.empty())
        pendingBatches_.erase(found);
    handler(result);
}

void DispatcherLink::onConnectionLost(const std::string &reason)
{
    transport::logWarning(
            Part, "Lost the connection to a dispatcher.",
            {{"dispatcher", transport::formatEndpoint(endpoint_)}, {"reason", reason}});
    {
        const std::lock_guard lock(healthMutex_);
        health_.onLost();
    }
    if (connection_)
        connection_->close();
    connection_.reset();
    phase_ = Phase::Down;
    reconnectAt_ = runtime_.clock().now() + options_->reconnectDelay;
    while (!pendingBatches_.empty())
        failBatch(pendingBatches_.begin()->first);
}

void DispatcherLink::failBatch(std::uint64_t batchId)
{
    auto node = pendingBatches_.extract(batchId);
    const auto &pending = node.mapped();
    SubResult result;
    result.batchId = batchId;
    result.snapshot = pending.batch.snapshot;
    result.outcome = pending.written ? protocol::SubOutcome::Unknown : protocol::SubOutcome::NotRun;
    result.error = protocol::SubError::ConnectionLost;
    for (const auto &shard : pending.shards) {
        result.shard = shard;
        pending.handler(result);
    }
}

} // namespace persimmon::entry
