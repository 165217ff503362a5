#pragma once

#include "transport/endpoint.h"
#include "transport/runtime.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace persimmon::transport {

/// Maximum payload of one frame, in bytes. A larger frame closes the connection.
inline constexpr std::size_t MaxFramePayloadBytes = 8U * 1024U * 1024U;

/// Timeouts, limits and callbacks of a frame connection.
struct FrameOptions
{
    /// A heartbeat is sent when the connection was idle in the send direction for this long.
    std::chrono::milliseconds heartbeatInterval{500};
    /// The connection is closed when no data was received for this long.
    std::chrono::milliseconds receiveTimeout{1500};
    /// Unsent bytes above this limit close the connection, so that a peer that does not read
    /// cannot exhaust memory.
    std::size_t maxUnsentBytes = 64U * 1024U * 1024U;
    /// Returns the payload of a heartbeat. No heartbeats are sent when this is empty.
    std::function<std::string()> makeHeartbeat;
};

/// TCP connection that carries length-prefixed frames: a 4-byte big-endian payload length, then the
/// payload.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(std::string)>;
    using CloseHandler = std::function<void(const TransportError &)>;

    FrameConnection(Runtime &runtime, boost::asio::ip::tcp::socket socket, FrameOptions options);

    /// Starts to read frames and to monitor liveness. Both handlers run on the connection's strand.
    /// @param onFrame called with each payload.
    /// @param onClose called once, when the connection is closed by either side.
    void start(FrameHandler onFrame, CloseHandler onClose);

    /// Queues one frame for sending. Thread-safe.
    /// @return false when the connection is closed; no byte of the frame was sent in that case.
    bool send(std::string payload);

    /// Closes the connection. Thread-safe.
    void close();

    bool isOpen() const { return open_; }

    /// @return time since the last received byte.
    Duration timeSinceReceived() const;

private:
    boost::asio::awaitable<void> readFrames();
    boost::asio::awaitable<void> monitorLiveness();
    void write();
    void onWriteCompleted(const boost::system::error_code &error);
    void fail(TransportErrorCode code, const std::string &message);

    Runtime &runtime_;
    boost::asio::ip::tcp::socket socket_;
    FrameOptions options_;
    FrameHandler onFrame_;
    CloseHandler onClose_;
    std::deque<std::string> sendQueue_;
    std::vector<std::string> writing_;
    std::size_t unsentBytes_ = 0;
    std::atomic<bool> open_ = true;
    bool closed_ = false;
    std::atomic<TimePoint> lastReceived_;
    TimePoint lastSent_;
};

/// Connects to a frame server. The connection runs on its own strand.
/// @return the connection; ConnectFailed or Timeout on failure.
boost::asio::awaitable<TransportResult<std::shared_ptr<FrameConnection>>>
connectFrames(Runtime &runtime, Endpoint endpoint, Duration timeout, FrameOptions options);

} // namespace persimmon::transport
