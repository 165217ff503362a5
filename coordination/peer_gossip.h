#pragma once

#include "coordination/peer_message.h"
#include "state/entry_membership.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace persimmon::coordination {

/// Decides which hosts a host talks to in each round and what they tell each other about the hosts
/// of the system. Answers the load of many hosts: heartbeats spread inside a region, only a few
/// exchanges a second join the regions, and whole lists of rows are sent only to a host that has
/// just started or whose list stays different. No I/O; not thread-safe.
class PeerGossip
{
public:
    /// Hosts of the own region that are asked in one round.
    static constexpr std::size_t NearPeers = 3;
    /// Hosts of other regions that all hosts of a region together ask in one round.
    static constexpr std::size_t FarPeersOfRegion = 4;
    /// Hosts of the own region that are told at once of a changed phase.
    static constexpr std::size_t AnnouncedPeers = 8;

    /// @param seed of the random choice of peers.
    PeerGossip(state::EntryMembership &membership, std::uint64_t seed);

    /// Takes the hosts that are asked while they are unknown.
    void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// @return control addresses of the hosts that are asked in this round.
    std::vector<std::string> nextPeers();

    /// @return hosts that are told at once that this one changed; the next rounds tell the others.
    std::vector<std::string> announcePeers();

    /// @return what @p peer is told and asked about hosts.
    PeerMessage question(const std::string &peer) const;

    /// @return what the sender of @p question is told about hosts.
    PeerMessage answer(const PeerMessage &question) const;

    /// Takes what a peer told about hosts.
    /// @return whether a host appeared, changed its phase or started anew.
    bool take(const PeerMessage &message, state::TimePoint now);

    /// Takes the answer to a question of this host, after take().
    void onAnswered(const PeerMessage &answer);

private:
    std::vector<std::string> choose(std::vector<std::string> from, std::size_t count);
    PeerMessage describe(const std::string &peer, std::uint64_t peerDigest, bool wholeList) const;

    state::EntryMembership &membership_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    /// EntryMembership::digest() of each peer as it was last told.
    std::map<std::string, std::uint64_t> digests_;
    std::size_t round_ = 0;
    /// Whether the next peer is asked for all of its rows.
    bool wantsRows_ = true;
    bool started_ = false;
};

} // namespace persimmon::coordination
