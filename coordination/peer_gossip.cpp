#include "coordination/peer_gossip.h"

#include <algorithm>

namespace persimmon::coordination {

PeerGossip::PeerGossip(state::EntryMembership &membership, std::uint64_t seed)
    : membership_(membership),
      random_(seed)
{
}

std::vector<std::string> PeerGossip::sample(std::vector<std::string> from, std::size_t count)
{
    std::shuffle(from.begin(), from.end(), random_);
    if (from.size() > count)
        from.resize(count);
    return from;
}

std::vector<std::string> PeerGossip::selectPeers()
{
    auto members = membership_.liveMembers();
    const auto self = members.front();
    std::sort(members.begin(), members.end(),
              [](const auto &left, const auto &right) { return left.control < right.control; });
    std::vector<std::string> local;
    std::map<std::string, std::vector<std::string>> remoteByRegion;
    std::size_t position = 0;
    for (const auto &member : members) {
        if (member.control == self.control)
            position = local.size();
        else if (member.region == self.region)
            local.push_back(member.control);
        else
            remoteByRegion[member.region].push_back(member.control);
    }
    auto peers = sample(local, LocalPeersPerRound);
    // The hosts of a region take turns in contacting other regions, and each host cycles through
    // these regions, so that every pair of regions exchanges messages regularly.
    const auto period = std::max<std::size_t>(1, (local.size() + 1) / RemoteRequestsPerRegion);
    const auto turn = position + round_++;
    if (!remoteByRegion.empty() && (local.empty() || turn % period == 0)) {
        const auto index =
                static_cast<std::ptrdiff_t>((turn / period + position) % remoteByRegion.size());
        auto region = std::next(remoteByRegion.begin(), index);
        for (auto &peer : sample(std::move(region->second), 1))
            peers.push_back(std::move(peer));
    }
    // Seeds reconnect groups of hosts that have removed each other from their membership.
    for (const auto &seed : seeds_) {
        const bool known = std::any_of(members.begin(), members.end(),
                                       [&](const auto &member) { return member.control == seed; });
        if (!known)
            peers.push_back(seed);
    }
    return peers;
}

std::vector<std::string> PeerGossip::selectLocalPeers()
{
    std::vector<std::string> local;
    for (const auto &peer : membership_.livePeers()) {
        if (membership_.isInOwnRegion(peer))
            local.push_back(peer);
    }
    return sample(std::move(local), LocalPeersPerRound);
}

std::vector<std::string> PeerGossip::selectAnnouncePeers()
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const auto &peer : membership_.livePeers())
        (membership_.isInOwnRegion(peer) ? local : remote).push_back(peer);
    auto peers = sample(std::move(local), LocalAnnouncePeers);
    for (auto &peer : sample(std::move(remote), LocalPeersPerRound))
        peers.push_back(std::move(peer));
    return peers;
}

PeerMessage PeerGossip::makeMessage(const std::string &peer, std::uint64_t peerDigest,
                                    bool allMembers) const
{
    PeerMessage message;
    message.digest = membership_.digest();
    if (peerDigest == message.digest)
        message.members.push_back(membership_.self());
    else
        message.members =
                allMembers ? membership_.membersFor(peer) : membership_.changedMembersFor(peer);
    message.heartbeats = membership_.isInOwnRegion(peer) ? membership_.heartbeats()
                                                         : membership_.regionHeartbeats();
    return message;
}

PeerMessage PeerGossip::makeRequest(const std::string &peer) const
{
    const auto known = digests_.find(peer);
    const auto digest = known == digests_.end() ? 0 : known->second;
    auto message = makeMessage(peer, digest, wantsMembers_ && hasReceivedReply_);
    message.wantsMembers = wantsMembers_;
    return message;
}

PeerMessage PeerGossip::makeReply(const PeerMessage &request) const
{
    const auto sender = request.members.empty() ? std::string() : request.members.front().control;
    return makeMessage(sender, request.digest, request.wantsMembers);
}

bool PeerGossip::applyMessage(const PeerMessage &message, state::TimePoint now)
{
    const bool changed = membership_.merge(message.members, now);
    membership_.merge(message.heartbeats, now);
    if (!message.members.empty())
        digests_[message.members.front().control] = message.digest;
    return changed;
}

void PeerGossip::onReply(const PeerMessage &reply)
{
    hasReceivedReply_ = true;
    // Member sets differ temporarily after each change; only a lasting difference requires all
    // member states.
    wantsMembers_ = reply.digest != membership_.digest() && membership_.isStable();
}

} // namespace persimmon::coordination
