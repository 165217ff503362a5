#pragma once

#include "coordination/peer_gossip.h"
#include "coordination/record_follower.h"
#include "state/entry_membership.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::coordination {

/// Further state that hosts exchange with each message.
struct SharedState
{
    /// Adds the state of this host to a message.
    /// @param all whether the receiver is starting and needs all of it.
    std::function<void(PeerMessage &message, bool all)> addTo = [](PeerMessage & /*message*/,
                                                                   bool /*all*/) {};
    /// Merges the state of a peer.
    std::function<void(const PeerMessage &message)> merge = [](const PeerMessage & /*message*/) {};
};

/// Exchanges PeerGossip messages with other hosts over HTTP, together with store records that a
/// host lacks. For single-threaded runtimes only; must outlive the handlers of the runtime.
class PeerExchange
{
public:
    /// Interval between two rounds of exchanges.
    static constexpr std::chrono::milliseconds RoundInterval{1000};

    /// @param onMembershipChange called after a change of the set of live hosts or their phases.
    PeerExchange(transport::Runtime &runtime, state::EntryMembership &membership,
                 RecordFollower &follower, std::function<void()> onMembershipChange,
                 SharedState sharedState = {});

    /// @return the bound endpoint, or BindFailed.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Sets the control addresses of the hosts to contact while they are not in the membership.
    void setSeeds(std::vector<std::string> seeds) { gossip_.setSeeds(std::move(seeds)); }

    void start();

    /// Marks hosts as dead whose heartbeats have stopped. Must be called several times per second.
    void expire();

    /// Sends a change of this host, such as its shutdown, to some peers immediately.
    void announce();

    /// Long-polls @p peer for records after position @p after of the store.
    /// @return the changes, empty if there are none, or the error.
    boost::asio::awaitable<Result<state::RecordDelta, StoreFailure>>
    watchPeer(std::string peer, state::StorePosition after);

    /// Ends a watchPeer() in progress.
    void resetPeerWatch();

    /// Completes the pending watch requests of peers after the mirror of this host changed.
    void wakeWatchers();

private:
    struct PeerState
    {
        std::shared_ptr<transport::HttpConnection> connection;
        bool inProgress = false;
        transport::TimePoint retryAt{};
        int failures = 0;
        /// Whether the last reply told of the store's answers, as hosts of earlier versions do not;
        /// std::nullopt before the first reply.
        std::optional<bool> tellsStoreAnswers;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> exchangeWith(std::string peer);
    boost::asio::awaitable<bool> sendRequest(std::string peer, std::shared_ptr<PeerState> state);
    boost::asio::awaitable<transport::HttpResponse> handleRequest(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> handleWatch(transport::HttpRequest request);
    /// @return the time after which @p peer answers a watch without changes.
    std::chrono::milliseconds watchHoldOf(const std::string &peer) const;
    /// @return whether records may be requested from @p peer at this time.
    bool mayRequestRecords(const std::string &peer) const;
    void applyMessage(const PeerMessage &message);
    /// Requests the records up to @p position from @p peer unless they arrive otherwise first, and
    /// passes them on.
    boost::asio::awaitable<void> pullRecords(std::string peer, state::StorePosition position);
    /// Adds what this host knows of the store.
    void addStoreState(PeerMessage &message) const;
    /// Merges what the sender of a reply knows of the store's answers. Must be called before the
    /// records of the reply are applied.
    /// @param sentAt when this host sent the request.
    void mergeStoreAnswers(const PeerMessage &reply, transport::TimePoint sentAt);
    void recordFailure(const std::string &peer, PeerState &state, const std::string &reason);

    transport::Runtime &runtime_;
    state::EntryMembership &membership_;
    RecordFollower &follower_;
    const std::function<void()> onMembershipChange_;
    const SharedState sharedState_;
    transport::HttpServer server_;
    PeerGossip gossip_;
    transport::TimePoint startedAt_{};
    /// Whether pullRecords() is in progress.
    bool pulling_ = false;
    std::map<std::string, std::shared_ptr<PeerState>> peers_;
    std::set<std::shared_ptr<transport::AsyncAutoResetEvent>> watchers_;
    /// Connection to the peer whose mirror is watched, at control address watchedPeer_.
    std::shared_ptr<transport::HttpConnection> watchConnection_;
    std::string watchedPeer_;
    /// Time after which watchedPeer_ answers a watch without changes.
    std::chrono::milliseconds watchedPeerHold_{0};
};

} // namespace persimmon::coordination
