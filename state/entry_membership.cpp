#include "state/entry_membership.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace persimmon::state {

namespace {

/// Active hosts in each failure domain. With two, callers still have a host when one fails.
constexpr std::size_t ActivePerDomain = 2;
/// Ratio of the active hosts' capacity to the load, as headroom for bursts.
constexpr std::uint64_t CapacityPerLoad = 2;

} // namespace

std::uint32_t hostId(const std::string &control)
{
    return XXH32(control.data(), control.size(), 0);
}

EntryMembership::EntryMembership(MemberState self, std::chrono::milliseconds remoteHeartbeatTimeout)
    : self_(std::move(self)),
      remoteHeartbeatTimeout_(remoteHeartbeatTimeout)
{
}

void EntryMembership::advanceHeartbeat()
{
    ++self_.heartbeat;
    ++round_;
}

void EntryMembership::supersedeHeartbeat(std::uint64_t heartbeat)
{
    if (heartbeat > self_.heartbeat)
        self_.heartbeat = heartbeat + 1;
}

void EntryMembership::setPhase(EntryPhase phase)
{
    self_.phase = phase;
    advanceHeartbeat();
}

bool EntryMembership::setStoreUnreachable(bool unreachable)
{
    if (self_.storeUnreachable == unreachable)
        return false;
    self_.storeUnreachable = unreachable;
    advanceHeartbeat();
    return true;
}

bool EntryMembership::setUpstreamsUnreachable(bool unreachable)
{
    if (self_.upstreamsUnreachable == unreachable)
        return false;
    self_.upstreamsUnreachable = unreachable;
    advanceHeartbeat();
    return true;
}

bool EntryMembership::merge(const std::vector<MemberState> &members, TimePoint now)
{
    bool changed = false;
    for (const auto &member : members)
        changed = mergeMember(member, &member == members.data(), now) || changed;
    return changed;
}

bool EntryMembership::mergeMember(const MemberState &member, bool isSender, TimePoint now)
{
    if (member.control == self_.control) {
        // Peers still relay the state of an earlier incarnation; this one must supersede it.
        if (std::pair(member.incarnation, member.heartbeat)
            > std::pair(self_.incarnation, self_.heartbeat))
            self_.incarnation = member.incarnation + 1;
        supersedeHeartbeat(member.heartbeat);
        return false;
    }
    const auto [found, isNew] = peers_.try_emplace(member.control, Peer{member, now, 0, 0, round_});
    auto &peer = found->second;
    if (isNew) {
        peer.completeHeartbeat = member.isPartial ? 0 : member.heartbeat;
        return true;
    }
    const bool cutChanged = mergeLaterFields(peer, member);
    if (cutChanged)
        peer.changedAtRound = round_;
    const auto known =
            std::pair(peer.state.incarnation, isSender ? peer.ownHeartbeat : peer.state.heartbeat);
    if (std::pair(member.incarnation, member.heartbeat) <= known)
        return cutChanged;
    const bool restarted = peer.state.incarnation != member.incarnation;
    const bool changed = cutChanged || restarted || !peer.live || peer.state.phase != member.phase
                         || peer.state.front != member.front
                         || peer.state.storeUnreachable != member.storeUnreachable;
    auto state = member;
    if (!restarted) {
        state.relay = peer.state.relay;
        state.upstreamsUnreachable = peer.state.upstreamsUnreachable;
        state.isPartial = peer.state.isPartial;
        state.laterFields = peer.state.laterFields;
    } else {
        peer.ownHeartbeat = 0;
        peer.completeHeartbeat = member.isPartial ? 0 : member.heartbeat;
        peer.suspectedAt.reset();
    }
    peer.state = std::move(state);
    peer.lastHeartbeatAt = now;
    peer.live = true;
    if (isSender)
        peer.ownHeartbeat = member.heartbeat;
    if (changed)
        peer.changedAtRound = round_;
    return changed;
}

bool EntryMembership::mergeLaterFields(Peer &peer, const MemberState &member)
{
    if (member.isPartial || member.incarnation != peer.state.incarnation
        || member.heartbeat <= peer.completeHeartbeat)
        return false;
    const bool changed = peer.state.upstreamsUnreachable != member.upstreamsUnreachable;
    peer.state.relay = member.relay;
    peer.state.upstreamsUnreachable = member.upstreamsUnreachable;
    peer.state.isPartial = false;
    peer.state.laterFields = member.laterFields;
    peer.completeHeartbeat = member.heartbeat;
    return changed;
}

void EntryMembership::merge(const std::vector<MemberHeartbeat> &heartbeats, TimePoint now)
{
    std::map<std::uint32_t, const MemberHeartbeat *> byHost;
    for (const auto &heartbeat : heartbeats)
        byHost[heartbeat.host] = &heartbeat;
    const auto own = byHost.find(hostId(self_.control));
    if (own != byHost.end())
        supersedeHeartbeat(own->second->heartbeat);
    for (auto &[control, peer] : peers_) {
        const auto found = byHost.find(hostId(control));
        if (!peer.live || found == byHost.end() || found->second->heartbeat <= peer.state.heartbeat)
            continue;
        peer.state.heartbeat = found->second->heartbeat;
        peer.state.load = found->second->load;
        peer.lastHeartbeatAt = now;
    }
}

std::uint64_t EntryMembership::digest() const
{
    std::map<std::string, std::string> texts;
    for (const auto &member : liveMembers()) {
        texts[member.control] = member.front + "|" + std::to_string(member.incarnation) + "|"
                                + std::to_string(static_cast<int>(member.phase))
                                + (member.storeUnreachable ? "|lost" : "|")
                                + (member.upstreamsUnreachable ? "|cut" : "");
    }
    std::string all;
    for (const auto &[control, text] : texts)
        all.append(control).append(text);
    return XXH64(all.data(), all.size(), 0);
}

std::vector<MemberHeartbeat> EntryMembership::heartbeats() const
{
    std::vector<MemberHeartbeat> heartbeats;
    for (const auto &member : liveMembers())
        heartbeats.push_back({hostId(member.control), member.heartbeat, member.load});
    return heartbeats;
}

std::vector<MemberHeartbeat> EntryMembership::regionHeartbeats() const
{
    std::vector<MemberHeartbeat> heartbeats;
    for (const auto &member : liveMembers()) {
        if (member.region == self_.region)
            heartbeats.push_back({hostId(member.control), member.heartbeat, member.load});
    }
    return heartbeats;
}

void EntryMembership::onPause(TimePoint now)
{
    for (auto &[control, peer] : peers_) {
        if (peer.live)
            peer.lastHeartbeatAt = now;
    }
}

bool EntryMembership::expire(TimePoint now)
{
    bool died = false;
    for (auto &[control, peer] : peers_) {
        const auto limit =
                peer.state.region == self_.region ? HeartbeatTimeout : remoteHeartbeatTimeout_;
        if (peer.live && now - peer.lastHeartbeatAt > limit) {
            peer.live = false;
            peer.changedAtRound = round_;
            died = true;
        }
    }
    std::erase_if(peers_, [now](const auto &entry) {
        return now - entry.second.lastHeartbeatAt > DeadMemberRetention;
    });
    return died;
}

std::vector<MemberState> EntryMembership::liveMembers() const
{
    std::vector<MemberState> members{self_};
    for (const auto &[control, peer] : peers_) {
        if (peer.live)
            members.push_back(peer.state);
    }
    return members;
}

void EntryMembership::suspect(const std::string &control, TimePoint now)
{
    const auto found = peers_.find(control);
    if (found != peers_.end())
        found->second.suspectedAt = now;
}

StoreSource EntryMembership::storeSource(TimePoint now) const
{
    auto source = selectStoreSource(liveMembers(), self_.control);
    const auto found = peers_.find(source.peer);
    const bool isSuspected = found != peers_.end() && found->second.suspectedAt
                             && now - *found->second.suspectedAt < HeartbeatTimeout;
    if (isSuspected)
        source = {true, {}};
    return source;
}

std::vector<MemberState> EntryMembership::membersFor(const std::string &peer) const
{
    auto members = liveMembers();
    const auto found = peers_.find(peer);
    if (found != peers_.end() && !found->second.live)
        members.push_back(found->second.state);
    return members;
}

std::vector<MemberState> EntryMembership::changedMembersFor(const std::string &peer) const
{
    std::vector<MemberState> members{self_};
    for (const auto &[control, known] : peers_) {
        if (known.live ? changedRecently(known) : control == peer)
            members.push_back(known.state);
    }
    return members;
}

bool EntryMembership::changedRecently(const Peer &peer) const
{
    return round_ - peer.changedAtRound <= ChangeSpreadHeartbeats;
}

bool EntryMembership::isStable() const
{
    return std::none_of(peers_.begin(), peers_.end(),
                        [this](const auto &entry) { return changedRecently(entry.second); });
}

bool EntryMembership::isInOwnRegion(const std::string &control) const
{
    const auto found = peers_.find(control);
    return found != peers_.end() && found->second.state.region == self_.region;
}

std::vector<std::string> EntryMembership::livePeers() const
{
    std::vector<std::string> peers;
    for (const auto &[control, peer] : peers_) {
        if (peer.live)
            peers.push_back(control);
    }
    return peers;
}

std::uint32_t EntryMembership::liveCount() const
{
    return 1 + static_cast<std::uint32_t>(livePeers().size());
}

StoreSource selectStoreSource(const std::vector<MemberState> &members, const std::string &self)
{
    // Hosts of each region that can relay records, sorted so that all hosts select the same ones.
    std::map<std::string, std::vector<std::string>> byRegion;
    std::string ownRegion;
    std::size_t readerCount = StoreReaderCount;
    for (const auto &member : members) {
        if (member.control == self && member.storeUnreachable)
            return {true, {}};
        if (member.control == self)
            ownRegion = member.region;
        if (!member.storeUnreachable && member.phase != EntryPhase::Leaving)
            byRegion[member.region].push_back(member.control);
        readerCount += member.storeUnreachable ? ReadersPerUnreachable : 0;
    }
    std::vector<std::string> readers;
    for (std::size_t rank = 0; readers.size() < readerCount && rank < members.size(); ++rank) {
        for (auto &[region, hosts] : byRegion) {
            if (rank == 0)
                std::sort(hosts.begin(), hosts.end());
            if (rank < hosts.size() && readers.size() < readerCount)
                readers.push_back(hosts[rank]);
        }
    }
    if (std::find(readers.begin(), readers.end(), self) != readers.end())
        return {true, {}};
    const auto &hosts = byRegion[ownRegion];
    const auto rank =
            static_cast<std::size_t>(std::find(hosts.begin(), hosts.end(), self) - hosts.begin());
    if (rank == hosts.size() && !hosts.empty())
        return {false, hosts.front()};
    if (rank > 0 && rank < hosts.size())
        return {false, hosts[(rank - 1) / MaxStoreFollowers]};
    return readers.empty() ? StoreSource{true, {}} : StoreSource{false, readers.front()};
}

std::vector<MemberState> selectActiveEntries(const std::vector<MemberState> &entries)
{
    std::map<std::string, std::map<std::string, std::vector<MemberState>>> byRegionAndDomain;
    std::map<std::string, std::uint64_t> loadOfRegion;
    const bool anyConnected =
            std::any_of(entries.begin(), entries.end(), [](const MemberState &member) {
                return member.phase == EntryPhase::Ready && !member.upstreamsUnreachable;
            });
    for (const auto &member : entries) {
        loadOfRegion[member.region] += member.load;
        // While all hosts are cut, all are active, as they may be the first to connect again.
        const bool connected = !member.upstreamsUnreachable || !anyConnected;
        if (member.phase == EntryPhase::Ready && connected)
            byRegionAndDomain[member.region][member.failureDomain].push_back(member);
    }
    std::vector<MemberState> active;
    for (auto &[region, domains] : byRegionAndDomain) {
        std::size_t largestDomain = 0;
        for (auto &[domain, members] : domains) {
            std::sort(members.begin(), members.end(),
                      [](const MemberState &left, const MemberState &right) {
                          return std::pair(right.capacity, left.control)
                                 < std::pair(left.capacity, right.control);
                      });
            largestDomain = std::max(largestDomain, members.size());
        }
        std::uint64_t capacity = 0;
        const auto needed = loadOfRegion[region] * CapacityPerLoad;
        for (std::size_t rank = 0; rank < largestDomain; ++rank) {
            if (rank >= ActivePerDomain && capacity >= needed)
                break;
            for (const auto &[domain, members] : domains) {
                if (rank >= members.size())
                    continue;
                capacity += members[rank].capacity;
                active.push_back(members[rank]);
            }
        }
    }
    return active;
}

std::vector<MemberState> selectEntriesForCaller(const std::vector<MemberState> &entries,
                                                const std::string &callerRegion,
                                                const std::vector<std::string> &servingRegions,
                                                const std::vector<std::string> &homeRegions,
                                                std::size_t maxCount)
{
    const auto contains = [](const std::vector<std::string> &regions, const std::string &region) {
        return std::find(regions.begin(), regions.end(), region) != regions.end();
    };
    const auto isHome = [&](const MemberState &member) {
        return homeRegions.empty() || contains(homeRegions, member.region);
    };
    const bool callerIsServed = contains(servingRegions, callerRegion);
    const std::vector<std::function<bool(const MemberState &)>> preferences{
            [&](const MemberState &member) {
                return member.region == callerRegion && callerIsServed;
            },
            [&](const MemberState &member) {
                return contains(servingRegions, member.region) && isHome(member);
            },
            [&](const MemberState &member) { return isHome(member); },
            [&](const MemberState &member) { return member.region == callerRegion; },
            [](const MemberState & /*member*/) { return true; },
    };
    const auto active = selectActiveEntries(entries);
    std::vector<MemberState> chosen;
    for (const auto &isPreferred : preferences) {
        std::copy_if(active.begin(), active.end(), std::back_inserter(chosen), isPreferred);
        if (!chosen.empty())
            break;
    }
    if (chosen.empty()) {
        std::copy_if(
                entries.begin(), entries.end(), std::back_inserter(chosen),
                [](const MemberState &member) { return member.phase == EntryPhase::Starting; });
    }
    if (chosen.size() > maxCount)
        chosen.resize(maxCount);
    return chosen;
}

} // namespace persimmon::state
