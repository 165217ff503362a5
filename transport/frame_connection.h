#pragma once

#include "transport/endpoint.h"
#include "transport/runtime.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace persimmon::transport {

/// Largest payload of one frame, in bytes. A longer one closes the connection.
inline constexpr std::size_t FrameLimit = 8U * 1024U * 1024U;

/// Timing and hooks of a frame connection.
struct FrameOptions
{
    /// A heartbeat is sent when nothing was sent for this long.
    std::chrono::milliseconds heartbeatInterval{500};
    /// The connection is dead when nothing was received for this long.
    std::chrono::milliseconds silenceLimit{1500};
    /// Unsent bytes above this limit close the connection, so that a peer that does not read
    /// cannot exhaust memory.
    std::size_t unsentLimit = 64U * 1024U * 1024U;
    /// Makes the payload of a heartbeat.
    std::function<std::string()> makeHeartbeat;
};

/// A TCP connection that carries frames: a 4-byte big-endian length and a payload.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(std::string)>;
    using CloseHandler = std::function<void(const TransportError &)>;

    FrameConnection(Runtime &runtime, boost::asio::ip::tcp::socket socket, FrameOptions options);

    /// Begins to read and to watch liveness. Both handlers run on the connection's strand.
    /// @param onFrame called with each payload.
    /// @param onClose called once, when the connection is closed by either side.
    void start(FrameHandler onFrame, CloseHandler onClose);

    /// Queues one frame. Callable from any thread.
    /// @return false when the connection is closed; then nothing of the frame was sent.
    bool send(std::string payload);

    /// Closes the connection. Callable from any thread.
    void close();

    bool isOpen() const { return open_; }

    /// @return time since the last received byte.
    Duration sinceReceived() const;

private:
    boost::asio::awaitable<void> readFrames();
    boost::asio::awaitable<void> watchLiveness();
    void write();
    void onWritten(const boost::system::error_code &error);
    void fail(TransportErrorCode code, const std::string &message);

    Runtime &runtime_;
    boost::asio::ip::tcp::socket socket_;
    FrameOptions options_;
    FrameHandler onFrame_;
    CloseHandler onClose_;
    std::deque<std::string> queue_;
    std::vector<std::string> writing_;
    std::size_t unsent_ = 0;
    std::atomic<bool> open_ = true;
    bool closed_ = false;
    std::atomic<TimePoint> lastReceived_;
    TimePoint lastSent_;
};

/// Connects to a frame server. Runs the connection on a strand of its own.
boost::asio::awaitable<TransportResult<std::shared_ptr<FrameConnection>>>
connectFrames(Runtime &runtime, Endpoint endpoint, Duration timeout, FrameOptions options);

} // namespace persimmon::transport
