#pragma once

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

/// What one host tells another.
struct PeerMessage
{
    /// Rows of hosts, the sender's first; only the sender's when the receiver holds the same rows.
    std::vector<state::EntryRow> rows;
    std::vector<state::Heartbeat> heartbeats;
    /// EntryMembership::digest() of the sender.
    std::uint64_t digest = 0;
    /// Revision up to which the sender knows the platform's store.
    std::uint64_t revision = 0;
    /// Whether the sender asks for records after its revision.
    bool wantsRecords = false;
    /// What the asker lacks; its revision is that of the message.
    std::optional<state::RecordDelta> delta;

    bool operator==(const PeerMessage &) const = default;
};

/// @return @p message as JSON text.
std::string encodePeerMessage(const PeerMessage &message);

/// @return the message, or Malformed.
Result<PeerMessage, CoordinationError> decodePeerMessage(const std::string &text);

/// Exchanges membership rows, and records of the store where they are missing, with a few random
/// hosts each round. For one-thread runtimes only; must outlive the runtime's handlers.
class PeerExchange
{
public:
    static constexpr std::chrono::milliseconds RoundTime{1000};
    /// Hosts that are asked in one round.
    static constexpr std::size_t FanOut = 2;

    /// @param onMembership called when the live hosts changed.
    PeerExchange(transport::Runtime &runtime, state::EntryMembership &membership,
                 RecordFollower &follower, std::function<void()> onMembership);

    /// @return BindFailed if the address is taken.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Takes the hosts that are asked while they are unknown.
    void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    void start();

    /// Tells all live hosts at once, for example that this one leaves.
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
    std::vector<std::string> choosePeers(std::size_t count) const;
    PeerMessage makeMessage(const std::string &peer, std::uint64_t peerDigest) const;
    void take(const PeerMessage &message);
    void noteFailure(const std::string &peer, Link &link, const std::string &reason);

    transport::Runtime &runtime_;
    state::EntryMembership &membership_;
    RecordFollower &follower_;
    const std::function<void()> onMembership_;
    transport::HttpServer server_;
    std::vector<std::string> seeds_;
    std::map<std::string, std::shared_ptr<Link>> links_;
    /// What each peer said of itself last.
    struct PeerState
    {
        std::uint64_t revision = 0;
        std::uint64_t digest = 0;
    };
    std::map<std::string, PeerState> peerStates_;
    std::set<std::shared_ptr<transport::OneShot>> watchers_;
    /// Connection to the host whose copy is followed.
    std::shared_ptr<transport::HttpConnection> watchConnection_;
    std::string watchedPeer_;
};

} // namespace persimmon::coordination
