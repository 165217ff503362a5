#include "transport/frame_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace persimmon::transport {

namespace {

constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t HeaderBytes = 4;
constexpr std::size_t ReadChunkBytes = 16U * 1024U;

std::string makeFrame(const std::string &payload)
{
    std::string frame(HeaderBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()),
                                 static_cast<std::uint32_t>(payload.size()));
    frame += payload;
    return frame;
}

std::size_t readPayloadSize(const std::string &buffer, std::size_t offset)
{
    const auto *header = reinterpret_cast<const unsigned char *>(buffer.data() + offset);
    return boost::endian::load_big_u32(header);
}

} // namespace

FrameConnection::FrameConnection(Runtime &runtime, tcp::socket socket, FrameOptions options)
    : runtime_(runtime),
      socket_(std::move(socket)),
      options_(std::move(options)),
      lastReceived_(runtime.clock().now()),
      lastSent_(runtime.clock().now())
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

void FrameConnection::start(FrameHandler onFrame, CloseHandler onClose)
{
    onFrame_ = std::move(onFrame);
    onClose_ = std::move(onClose);
    const auto executor = socket_.get_executor();
    // The coroutines start later; until then only these handlers keep the connection alive.
    const auto keep = [self = shared_from_this()](const std::exception_ptr &) {};
    asio::co_spawn(executor, readFrames(), keep);
    asio::co_spawn(executor, monitorLiveness(), keep);
}

bool FrameConnection::send(std::string payload)
{
    if (!open_)
        return false;
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), frame = makeFrame(payload)]() mutable {
                   if (self->closed_)
                       return;
                   self->unsentBytes_ += frame.size();
                   if (self->unsentBytes_ > self->options_.maxUnsentBytes) {
                       self->fail(TransportErrorCode::TooLarge, "unsent data exceeds the limit");
                       return;
                   }
                   self->sendQueue_.push_back(std::move(frame));
                   if (self->writing_.empty())
                       self->write();
               });
    return true;
}

void FrameConnection::close()
{
    open_ = false;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->fail(TransportErrorCode::Closed, "the connection was closed locally");
    });
}

Duration FrameConnection::timeSinceReceived() const
{
    return runtime_.clock().now() - lastReceived_.load();
}

asio::awaitable<void> FrameConnection::readFrames()
{
    const auto self = shared_from_this();
    std::string buffer;
    while (!closed_) {
        const auto bufferedBytes = buffer.size();
        buffer.resize(bufferedBytes + ReadChunkBytes);
        const auto [error, bytes] = co_await socket_.async_read_some(
                asio::buffer(buffer.data() + bufferedBytes, ReadChunkBytes), AwaitTuple);
        if (error) {
            fail(TransportErrorCode::ConnectionLost, error.message());
            co_return;
        }
        buffer.resize(bufferedBytes + bytes);
        lastReceived_ = runtime_.clock().now();
        std::size_t offset = 0;
        while (!closed_ && buffer.size() - offset >= HeaderBytes) {
            const auto size = readPayloadSize(buffer, offset);
            if (size > MaxFramePayloadBytes) {
                fail(TransportErrorCode::TooLarge, "a frame exceeds the maximum payload size");
                co_return;
            }
            if (buffer.size() - offset < HeaderBytes + size)
                break;
            onFrame_(buffer.substr(offset + HeaderBytes, size));
            offset += HeaderBytes + size;
        }
        buffer.erase(0, offset);
    }
}

asio::awaitable<void> FrameConnection::monitorLiveness()
{
    const auto self = shared_from_this();
    const auto checkInterval = std::min(options_.heartbeatInterval, options_.receiveTimeout) / 2;
    auto lastCheck = runtime_.clock().now();
    while (!closed_) {
        co_await runtime_.clock().sleep(checkInterval);
        if (closed_)
            co_return;
        const auto now = runtime_.clock().now();
        // After a suspension of this process, frames of the peer may still be unread in the socket
        // buffer; the timeout is skipped once so that they are read first.
        const bool wasSuspended = now - lastCheck > options_.receiveTimeout;
        lastCheck = now;
        if (!wasSuspended && now - lastReceived_.load() > options_.receiveTimeout) {
            fail(TransportErrorCode::Timeout, "no data received within the receive timeout");
            co_return;
        }
        if (options_.makeHeartbeat && now - lastSent_ >= options_.heartbeatInterval)
            send(options_.makeHeartbeat());
    }
}

void FrameConnection::write()
{
    lastSent_ = runtime_.clock().now();
    writing_.assign(std::make_move_iterator(sendQueue_.begin()),
                    std::make_move_iterator(sendQueue_.end()));
    sendQueue_.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const auto &frame : writing_)
        buffers.push_back(asio::buffer(frame));
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t) { self->onWriteCompleted(error); });
}

void FrameConnection::onWriteCompleted(const boost::system::error_code &error)
{
    if (error) {
        fail(TransportErrorCode::ConnectionLost, error.message());
        return;
    }
    for (const auto &frame : writing_)
        unsentBytes_ -= frame.size();
    writing_.clear();
    if (!sendQueue_.empty() && !closed_)
        write();
}

void FrameConnection::fail(TransportErrorCode code, const std::string &message)
{
    if (closed_)
        return;
    closed_ = true;
    open_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (onClose_)
        onClose_({code, message, true});
}

asio::awaitable<TransportResult<std::shared_ptr<FrameConnection>>>
connectFrames(Runtime &runtime, Endpoint endpoint, Duration timeout, FrameOptions options)
{
    using namespace asio::experimental::awaitable_operators;
    tcp::socket socket(runtime.makeStrand());
    asio::steady_timer timer(co_await asio::this_coro::executor, timeout);
    const auto outcome =
            co_await (socket.async_connect(endpoint, AwaitTuple) || timer.async_wait(AwaitTuple));
    if (outcome.index() == 1) {
        co_return TransportError{TransportErrorCode::Timeout,
                                 formatEndpoint(endpoint) + ": connecting timed out"};
    }
    const auto error = std::get<0>(std::get<0>(outcome));
    if (error) {
        co_return TransportError{TransportErrorCode::ConnectFailed,
                                 formatEndpoint(endpoint) + ": " + error.message()};
    }
    co_return std::make_shared<FrameConnection>(runtime, std::move(socket), std::move(options));
}

} // namespace persimmon::transport
