#pragma once

#include "review/standin/http_peer.h"

namespace persimmon::review {

/// A request that arrived at an upstream and that it ran.
struct Arrival
{
    SteadyTime time;
    std::string requestId;
};

/// How an upstream works.
struct UpstreamBehaviour
{
    std::chrono::milliseconds workTime{5};
    /// Length of its pauses; 0 for none.
    std::chrono::milliseconds pauseTime{0};
    /// Time from the start of a pause to that of the next one.
    std::chrono::milliseconds pauseInterval{3600};
    /// Start of its first pause, from the first moment of the clock.
    std::chrono::milliseconds pauseOffset{0};
};

/// Stand-in of a server of the platform (PROTOCOL.md, "Servers"): runs each request that names it
/// in X-Expect-Instance, rejects others with 421, and registers itself in the store.
class UpstreamServer
{
public:
    UpstreamServer(const std::string &ip, std::string id, std::string service, std::string zone,
                   UpstreamBehaviour behaviour);

    const std::string &id() const { return id_; }
    const SocketAddress &address() const { return server_.address(); }

    /// @param coldTimeLeft time for which the server will still be cold.
    /// @return the entry that the server writes to the store under servers/ID.
    std::string entry(std::chrono::milliseconds coldTimeLeft = {}) const;

    /// @return the entry in which it reports that it leaves.
    std::string drainingEntry() const;

    /// @return the requests that it ran.
    std::vector<Arrival> arrivals() const;

private:
    std::string makeEntry(const std::string &state, std::chrono::milliseconds coldTimeLeft) const;
    std::string handle(const HttpMessage &request);
    /// Waits until the end of a pause that has begun.
    void waitForPause() const;

    const std::string id_;
    const std::string service_;
    const std::string zone_;
    const UpstreamBehaviour behaviour_;
    const std::int64_t startMilliseconds_;
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    HttpServer server_;
};

} // namespace persimmon::review
