#pragma once

#include "coordination/peer_gossip.h"
#include "coordination/record_follower.h"
#include "state/entry_membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace persimmon::coordination {

/// Carries the messages of PeerGossip, and records of the store where they are missing, between
/// hosts. For one-thread runtimes only; must outlive the runtime's handlers.
class PeerExchange
{
public:
    static constexpr std::chrono::milliseconds RoundTime{1000};

    /// @param onMembership called when the live hosts changed.
    PeerExchange(transport::Runtime &runtime, state::EntryMembership &membership,
                 RecordFollower &follower, std::function<void()> onMembership);

    /// @return BindFailed if the address is taken.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Takes the hosts that are asked while they are unknown.
    void setSeeds(std::vector<std::string> seeds) { gossip_.setSeeds(std::move(seeds)); }

    void start();

    /// Looks for hosts that have died; to be called some times a second.
    void expire();

    /// Tells some hosts at once that this one changed, for example that it leaves.
    void announce();

    /// Waits for what the copy of @p peer has beyond a revision.
    boost::asio::awaitable<Result<state::RecordDelta, StoreFailure>>
    watchPeer(std::string peer, std::uint64_t after, std::chrono::milliseconds wait);

    /// Wakes the hosts that wait for news of this one's copy.
    void wakeWatchers();

private:
    struct Link
    {
        std::shared_ptr<transport::HttpConnection> connection;
        bool busy = false;
        transport::TimePoint nextTry{};
        int failures = 0;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> ask(std::string peer);
    boost::asio::awaitable<bool> askOnce(std::string peer, std::shared_ptr<Link> link);
    boost::asio::awaitable<transport::HttpResponse> answer(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> answerWatch(transport::HttpRequest request);
    /// @return whether @p peer may be asked for records now.
    bool mayBringRecords(const std::string &peer) const;
    void take(const PeerMessage &message);
    void noteFailure(const std::string &peer, Link &link, const std::string &reason);

    transport::Runtime &runtime_;
    state::EntryMembership &membership_;
    RecordFollower &follower_;
    const std::function<void()> onMembership_;
    transport::HttpServer server_;
    PeerGossip gossip_;
    transport::TimePoint startedAt_{};
    std::map<std::string, std::shared_ptr<Link>> links_;
    std::set<std::shared_ptr<transport::OneShot>> watchers_;
    /// Connection to the host whose copy is followed.
    std::shared_ptr<transport::HttpConnection> watchConnection_;
    std::string watchedPeer_;
};

} // namespace persimmon::coordination
