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
constexpr std::size_t HeaderSize = 4;
constexpr std::size_t ReadChunk = 16U * 1024U;

std::string addHeader(const std::string &payload)
{
    std::string frame(HeaderSize, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()),
                                 static_cast<std::uint32_t>(payload.size()));
    frame += payload;
    return frame;
}

std::size_t payloadSize(const std::string &buffer, std::size_t offset)
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
    // The coroutines begin later; until then only these handlers keep the connection.
    const auto keep = [self = shared_from_this()](const std::exception_ptr &) {};
    asio::co_spawn(executor, readFrames(), keep);
    asio::co_spawn(executor, watchLiveness(), keep);
}

bool FrameConnection::send(std::string payload)
{
    if (!open_)
        return false;
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), frame = addHeader(payload)]() mutable {
                   if (self->closed_)
                       return;
                   self->unsent_ += frame.size();
                   if (self->unsent_ > self->options_.unsentLimit) {
                       self->fail(TransportErrorCode::TooLarge, "the peer does not read");
                       return;
                   }
                   self->queue_.push_back(std::move(frame));
                   if (self->writing_.empty())
                       self->write();
               });
    return true;
}

void FrameConnection::close()
{
    open_ = false;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->fail(TransportErrorCode::Closed, "closed by this process");
    });
}

Duration FrameConnection::sinceReceived() const
{
    return runtime_.clock().now() - lastReceived_.load();
}

asio::awaitable<void> FrameConnection::readFrames()
{
    const auto self = shared_from_this();
    std::string buffer;
    while (!closed_) {
        const auto used = buffer.size();
        buffer.resize(used + ReadChunk);
        const auto [error, bytes] = co_await socket_.async_read_some(
                asio::buffer(buffer.data() + used, ReadChunk), AwaitTuple);
        if (error) {
            fail(TransportErrorCode::ConnectionLost, error.message());
            co_return;
        }
        buffer.resize(used + bytes);
        lastReceived_ = runtime_.clock().now();
        std::size_t offset = 0;
        while (!closed_ && buffer.size() - offset >= HeaderSize) {
            const auto size = payloadSize(buffer, offset);
            if (size > FrameLimit) {
                fail(TransportErrorCode::TooLarge, "a frame exceeds the limit");
                co_return;
            }
            if (buffer.size() - offset < HeaderSize + size)
                break;
            onFrame_(buffer.substr(offset + HeaderSize, size));
            offset += HeaderSize + size;
        }
        buffer.erase(0, offset);
    }
}

asio::awaitable<void> FrameConnection::watchLiveness()
{
    const auto self = shared_from_this();
    const auto step = std::min(options_.heartbeatInterval, options_.silenceLimit) / 2;
    auto lastCheck = runtime_.clock().now();
    while (!closed_) {
        co_await runtime_.clock().sleep(step);
        if (closed_)
            co_return;
        const auto now = runtime_.clock().now();
        // After a pause of this process the peer's frames wait in the socket; they are read first.
        const bool resumed = now - lastCheck > options_.silenceLimit;
        lastCheck = now;
        if (!resumed && now - lastReceived_.load() > options_.silenceLimit) {
            fail(TransportErrorCode::Timeout, "nothing received within the silence limit");
            co_return;
        }
        if (options_.makeHeartbeat && now - lastSent_ >= options_.heartbeatInterval)
            send(options_.makeHeartbeat());
    }
}

void FrameConnection::write()
{
    lastSent_ = runtime_.clock().now();
    writing_.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
    queue_.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const auto &frame : writing_)
        buffers.push_back(asio::buffer(frame));
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t) { self->onWritten(error); });
}

void FrameConnection::onWritten(const boost::system::error_code &error)
{
    if (error) {
        fail(TransportErrorCode::ConnectionLost, error.message());
        return;
    }
    for (const auto &frame : writing_)
        unsent_ -= frame.size();
    writing_.clear();
    if (!queue_.empty() && !closed_)
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
                                 formatEndpoint(endpoint) + ": no connection in time"};
    }
    const auto error = std::get<0>(std::get<0>(outcome));
    if (error) {
        co_return TransportError{TransportErrorCode::ConnectFailed,
                                 formatEndpoint(endpoint) + ": " + error.message()};
    }
    co_return std::make_shared<FrameConnection>(runtime, std::move(socket), std::move(options));
}

} // namespace persimmon::transport
