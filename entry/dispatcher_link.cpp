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
        OpenBatch open{
                std::move(batch), std::move(handler), {}, false, self->runtime_.clock().now()};
        for (const auto &sub : open.batch.subRequests)
            open.shards.insert(sub.shard);
        self->open_.emplace(id, std::move(open));
        if (self->phase_ == Phase::Open) {
            self->sendNow(id);
            return;
        }
        if (self->phase_ == Phase::Connecting)
            return;
        if (self->runtime_.clock().now() < self->retryAt_) {
            self->fail(id);
            return;
        }
        self->connect();
    });
}

void DispatcherLink::cancel(std::uint64_t batchId, std::vector<std::string> shards)
{
    asio::post(strand_, [self = shared_from_this(), batchId, shards = std::move(shards)] {
        const auto found = self->open_.find(batchId);
        if (found == self->open_.end())
            return;
        if (found->second.written && self->connection_)
            self->connection_->send(protocol::encodeFrame(protocol::Cancel{batchId, shards}));
        for (const auto &shard : shards)
            found->second.shards.erase(shard);
        if (found->second.shards.empty())
            self->open_.erase(found);
    });
}

void DispatcherLink::probe()
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->phase_ == Phase::Down && self->runtime_.clock().now() >= self->retryAt_)
            self->connect();
    });
}

void DispatcherLink::noteOverdue(transport::TimePoint sentAt)
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

void DispatcherLink::close()
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->connection_)
            self->connection_->close();
    });
}

void DispatcherLink::sendNow(std::uint64_t batchId)
{
    auto &open = open_.at(batchId);
    const bool stale = connection_->sinceReceived() > options_->freshness;
    if (stale && !open.batch.repeatable) {
        fail(batchId);
        return;
    }
    open.written = connection_->send(protocol::encodeFrame(open.batch));
    if (!open.written)
        fail(batchId);
}

void DispatcherLink::connect()
{
    phase_ = Phase::Connecting;
    asio::co_spawn(strand_, connectTask(), asio::detached);
}

asio::awaitable<void> DispatcherLink::connectTask()
{
    const auto self = shared_from_this();
    transport::FrameOptions frames;
    frames.makeHeartbeat = makeHeartbeat;
    auto result = co_await transport::connectFrames(runtime_, endpoint_, options_->connectTimeout,
                                                    std::move(frames));
    if (!isOk(result)) {
        onLost(errorOf(result).message);
        co_return;
    }
    connection_ = takeValue(result);
    const auto connection = connection_;
    const auto current = [self, connection] { return self->connection_ == connection; };
    connection->start(
            [self, current](std::string payload) {
                asio::post(self->strand_, [self, current, payload = std::move(payload)] {
                    if (current())
                        self->onFrame(payload);
                });
            },
            [self, current](const transport::TransportError &error) {
                asio::post(self->strand_, [self, current, reason = error.message] {
                    if (current())
                        self->onLost(reason);
                });
            });
    connection->send(protocol::encodeFrame(options_->makeHello()));
    co_await watchHello(connection);
}

asio::awaitable<void>
DispatcherLink::watchHello(std::shared_ptr<transport::FrameConnection> connection)
{
    const auto self = shared_from_this();
    co_await runtime_.clock().sleep(options_->connectTimeout);
    // Nothing is sent before the Hello, so that a silent dispatcher leaves the batches not run.
    if (connection_ == connection && phase_ == Phase::Connecting)
        onLost("no Hello in time");
}

void DispatcherLink::onFrame(const std::string &payload)
{
    const auto message = protocol::decodeFrame(payload);
    if (!isOk(message)) {
        onLost("malformed frame: " + errorOf(message).message);
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
        onLost("the dispatcher has another protocol version");
        return;
    }
    phase_ = Phase::Open;
    options_->noteRevision(hello.configRevision);
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, open] : open_) {
        if (!open.written)
            waiting.push_back(id);
    }
    for (const auto id : waiting)
        sendNow(id);
}

void DispatcherLink::onResult(const SubResult &result)
{
    options_->noteRevision(result.configRevision);
    const auto found = open_.find(result.batchId);
    if (found == open_.end() || !found->second.shards.contains(result.shard)
        || found->second.batch.snapshot != result.snapshot) {
        options_->onUnmatched();
        return;
    }
    if (result.outcome == protocol::SubOutcome::Done) {
        const std::lock_guard lock(healthMutex_);
        health_.onAnswer(runtime_.clock().now() - found->second.sentAt);
    }
    const auto handler = found->second.handler;
    found->second.shards.erase(result.shard);
    if (found->second.shards.empty())
        open_.erase(found);
    handler(result);
}

void DispatcherLink::onLost(const std::string &reason)
{
    transport::logWarning(
            Part, "The connection to a dispatcher is lost.",
            {{"dispatcher", transport::formatEndpoint(endpoint_)}, {"reason", reason}});
    {
        const std::lock_guard lock(healthMutex_);
        health_.onLost();
    }
    if (connection_)
        connection_->close();
    connection_.reset();
    phase_ = Phase::Down;
    retryAt_ = runtime_.clock().now() + options_->reconnectDelay;
    while (!open_.empty())
        fail(open_.begin()->first);
}

void DispatcherLink::fail(std::uint64_t batchId)
{
    auto node = open_.extract(batchId);
    const auto &open = node.mapped();
    SubResult result;
    result.batchId = batchId;
    result.snapshot = open.batch.snapshot;
    result.outcome = open.written ? protocol::SubOutcome::Unknown : protocol::SubOutcome::NotRun;
    result.error = protocol::SubError::ConnectionLost;
    for (const auto &shard : open.shards) {
        result.shard = shard;
        open.handler(result);
    }
}

} // namespace persimmon::entry
