#pragma once

#include "transport/frame_connection.h"

#include <functional>
#include <memory>

namespace persimmon::transport {

/// Accepts frame connections.
class FrameServer
{
public:
    /// Takes a new connection; the handler calls FrameConnection::start().
    using AcceptHandler = std::function<void(std::shared_ptr<FrameConnection>)>;

    FrameServer(Runtime &runtime, FrameOptions options, AcceptHandler onAccept);
    ~FrameServer();

    /// @return the endpoint in use, or BindFailed.
    TransportResult<Endpoint> listen(const Endpoint &endpoint);

    /// Stops accepting. Open connections stay.
    void close();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace persimmon::transport
