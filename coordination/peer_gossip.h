#pragma once

#include "coordination/peer_message.h"
#include "state/entry_membership.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace persimmon::coordination {

/// Gossip protocol for the host membership: selects the peers of each round and creates and applies
/// the messages. To limit traffic in large systems, heartbeats are gossiped within a region, only a
/// few exchanges per second cross regions, and all member states are sent only to a host that has
/// just started or whose member set remains different. No I/O; not thread-safe.
class PeerGossip
{
public:
    /// Number of hosts of the own region that a host contacts per round.
    static constexpr std::size_t LocalPeersPerRound = 3;
    /// Number of requests to other regions that all hosts of a region together send per round.
    static constexpr std::size_t RemoteRequestsPerRegion = 4;
    /// Number of hosts of the own region that are notified immediately of a phase change.
    static constexpr std::size_t LocalAnnouncePeers = 8;

    /// @param seed seed of the random peer selection.
    PeerGossip(state::EntryMembership &membership, std::uint64_t seed);

    /// Sets the control addresses of the hosts to contact while they are not in the membership.
    void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Starts a round.
    /// @return control addresses of the hosts to contact in this round.
    std::vector<std::string> selectPeers();

    /// @return control addresses of random hosts of the own region.
    std::vector<std::string> selectLocalPeers();

    /// @return control addresses of the hosts to notify immediately of a change of this host.
    ///         Gossip propagates the change to the others.
    std::vector<std::string> selectAnnouncePeers();

    /// @return a request to @p peer with the membership data that it needs.
    PeerMessage makeRequest(const std::string &peer) const;

    /// @return the reply to @p request with the membership data that its sender needs.
    PeerMessage makeReply(const PeerMessage &request) const;

    /// Merges the membership data of a request or reply.
    /// @return whether a host was added, changed its phase or restarted.
    bool applyMessage(const PeerMessage &message, state::TimePoint now);

    /// Handles the reply to a request of this host. Must be called after applyMessage().
    void onReply(const PeerMessage &reply);

private:
    std::vector<std::string> sample(std::vector<std::string> from, std::size_t count);
    PeerMessage makeMessage(const std::string &peer, std::uint64_t peerDigest,
                            bool allMembers) const;

    state::EntryMembership &membership_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    /// Last received EntryMembership::digest() of each peer.
    std::map<std::string, std::uint64_t> digests_;
    std::size_t round_ = 0;
    /// Whether the next request asks for all member states of the peer.
    bool wantsMembers_ = true;
    bool hasReceivedReply_ = false;
};

} // namespace persimmon::coordination
