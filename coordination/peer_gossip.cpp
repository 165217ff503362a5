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
    auto rows = membership_.liveMembers();
    const auto self = rows.front();
    std::sort(rows.begin(), rows.end(),
              [](const auto &left, const auto &right) { return left.control < right.control; });
    std::vector<std::string> local;
    std::map<std::string, std::vector<std::string>> remoteByRegion;
    std::size_t position = 0;
    for (const auto &row : rows) {
        if (row.control == self.control)
            position = local.size();
        else if (row.region == self.region)
            local.push_back(row.control);
        else
            remoteByRegion[row.region].push_back(row.control);
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
        const bool known = std::any_of(rows.begin(), rows.end(),
                                       [&](const auto &row) { return row.control == seed; });
        if (!known)
            peers.push_back(seed);
    }
    return peers;
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
                                    bool allRows) const
{
    PeerMessage message;
    message.digest = membership_.digest();
    if (peerDigest == message.digest)
        message.rows.push_back(membership_.self());
    else
        message.rows = allRows ? membership_.membersFor(peer) : membership_.changedMembersFor(peer);
    message.heartbeats = membership_.isInOwnRegion(peer) ? membership_.heartbeats()
                                                         : membership_.regionHeartbeats();
    return message;
}

PeerMessage PeerGossip::makeRequest(const std::string &peer) const
{
    const auto known = digests_.find(peer);
    const auto digest = known == digests_.end() ? 0 : known->second;
    auto message = makeMessage(peer, digest, wantsRows_ && hasReceivedReply_);
    message.wantsRows = wantsRows_;
    return message;
}

PeerMessage PeerGossip::makeReply(const PeerMessage &request) const
{
    const auto sender = request.rows.empty() ? std::string() : request.rows.front().control;
    return makeMessage(sender, request.digest, request.wantsRows);
}

bool PeerGossip::applyMessage(const PeerMessage &message, state::TimePoint now)
{
    const bool changed = membership_.merge(message.rows, now);
    membership_.merge(message.heartbeats, now);
    if (!message.rows.empty())
        digests_[message.rows.front().control] = message.digest;
    return changed;
}

void PeerGossip::onReply(const PeerMessage &reply)
{
    hasReceivedReply_ = true;
    // Row sets differ temporarily after each change; only a lasting difference requires all rows.
    wantsRows_ = reply.digest != membership_.digest() && membership_.isStable();
}

} // namespace persimmon::coordination
