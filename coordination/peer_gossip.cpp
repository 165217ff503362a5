#include "coordination/peer_gossip.h"

#include <algorithm>

namespace persimmon::coordination {

PeerGossip::PeerGossip(state::EntryMembership &membership, std::uint64_t seed)
    : membership_(membership),
      random_(seed)
{
}

std::vector<std::string> PeerGossip::choose(std::vector<std::string> from, std::size_t count)
{
    std::shuffle(from.begin(), from.end(), random_);
    if (from.size() > count)
        from.resize(count);
    return from;
}

std::vector<std::string> PeerGossip::nextPeers()
{
    auto rows = membership_.liveRows();
    const auto self = rows.front();
    std::sort(rows.begin(), rows.end(),
              [](const auto &left, const auto &right) { return left.control < right.control; });
    std::vector<std::string> near;
    std::map<std::string, std::vector<std::string>> farByRegion;
    std::size_t position = 0;
    for (const auto &row : rows) {
        if (row.control == self.control)
            position = near.size();
        else if (row.region == self.region)
            near.push_back(row.control);
        else
            farByRegion[row.region].push_back(row.control);
    }
    auto peers = choose(near, NearPeers);
    // The hosts of a region take turns, and each goes round the other regions, so that no two
    // regions hear nothing of each other for long.
    const auto period = std::max<std::size_t>(1, (near.size() + 1) / FarPeersOfRegion);
    const auto turn = position + round_++;
    if (!farByRegion.empty() && (near.empty() || turn % period == 0)) {
        const auto skipped =
                static_cast<std::ptrdiff_t>((turn / period + position) % farByRegion.size());
        auto region = std::next(farByRegion.begin(), skipped);
        for (auto &peer : choose(std::move(region->second), 1))
            peers.push_back(std::move(peer));
    }
    // Seeds join hosts that lost sight of each other.
    for (const auto &seed : seeds_) {
        const bool known = std::any_of(rows.begin(), rows.end(),
                                       [&](const auto &row) { return row.control == seed; });
        if (!known)
            peers.push_back(seed);
    }
    return peers;
}

std::vector<std::string> PeerGossip::announcePeers()
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &peer : membership_.livePeers())
        (membership_.isNear(peer) ? near : far).push_back(peer);
    auto peers = choose(std::move(near), AnnouncedPeers);
    for (auto &peer : choose(std::move(far), NearPeers))
        peers.push_back(std::move(peer));
    return peers;
}

PeerMessage PeerGossip::describe(const std::string &peer, std::uint64_t peerDigest,
                                 bool wholeList) const
{
    PeerMessage message;
    message.digest = membership_.digest();
    if (peerDigest == message.digest)
        message.rows.push_back(membership_.self());
    else
        message.rows = wholeList ? membership_.rowsFor(peer) : membership_.newsFor(peer);
    message.heartbeats =
            membership_.isNear(peer) ? membership_.heartbeats() : membership_.regionHeartbeats();
    return message;
}

PeerMessage PeerGossip::question(const std::string &peer) const
{
    const auto known = digests_.find(peer);
    const auto digest = known == digests_.end() ? 0 : known->second;
    auto message = describe(peer, digest, wantsRows_ && started_);
    message.wantsRows = wantsRows_;
    return message;
}

PeerMessage PeerGossip::answer(const PeerMessage &question) const
{
    const auto asker = question.rows.empty() ? std::string() : question.rows.front().control;
    return describe(asker, question.digest, question.wantsRows);
}

bool PeerGossip::take(const PeerMessage &message, state::TimePoint now)
{
    const bool changed = membership_.merge(message.rows, now);
    membership_.merge(message.heartbeats, now);
    if (!message.rows.empty())
        digests_[message.rows.front().control] = message.digest;
    return changed;
}

void PeerGossip::onAnswered(const PeerMessage &answer)
{
    started_ = true;
    // Lists differ for a while after each change; only a difference that stays needs whole lists.
    wantsRows_ = answer.digest != membership_.digest() && membership_.isSettled();
}

} // namespace persimmon::coordination
