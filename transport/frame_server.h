#pragma once

#include "transport/frame_connection.h"

#include <functional>
#include <memory>

namespace persimmon::transport {

/// Listens for frame connections.
class FrameServer
{
public:
    /// Receives each accepted connection and must call FrameConnection::start() on it.
    using AcceptHandler = std::function<void(std::shared_ptr<FrameConnection>)>;

    FrameServer(Runtime &runtime, FrameOptions options, AcceptHandler onAccept);
    ~FrameServer();

    /// Binds and starts to accept.
    /// @return the bound endpoint, or BindFailed.
    TransportResult<Endpoint> listen(const Endpoint &endpoint);

    /// Stops accepting. Established connections stay open.
    void close();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace persimmon::transport
