#include "state/entry_membership.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace persimmon::state {

namespace {

/// Two let one be lost without callers that know no other host.
constexpr std::size_t ActivePerDomain = 2;
/// Capacity that active hosts have for each unit of load, so that a burst finds room.
constexpr std::uint64_t CapacityPerLoad = 2;

} // namespace

std::uint32_t hostId(const std::string &control)
{
    return XXH32(control.data(), control.size(), 0);
}

EntryMembership::EntryMembership(EntryRow self, std::chrono::milliseconds farDeadTime)
    : self_(std::move(self)),
      farDeadTime_(farDeadTime)
{
}

void EntryMembership::setPhase(EntryPhase phase)
{
    self_.phase = phase;
    beat();
}

bool EntryMembership::merge(const std::vector<EntryRow> &rows, TimePoint now)
{
    bool changed = false;
    for (const auto &row : rows)
        changed = mergeOne(row, now) || changed;
    return changed;
}

bool EntryMembership::mergeOne(const EntryRow &row, TimePoint now)
{
    if (row.control == self_.control) {
        // An earlier start of this host is still being passed on; it must not win.
        if (std::pair(row.incarnation, row.heartbeat)
            > std::pair(self_.incarnation, self_.heartbeat))
            self_.incarnation = row.incarnation + 1;
        return false;
    }
    const auto [found, isNew] = peers_.try_emplace(row.control, Peer{row, now, self_.heartbeat});
    if (isNew)
        return true;
    auto &peer = found->second;
    const auto known = std::pair(peer.row.incarnation, peer.row.heartbeat);
    if (std::pair(row.incarnation, row.heartbeat) <= known)
        return false;
    const bool changed = !peer.live || peer.row.phase != row.phase
                         || peer.row.incarnation != row.incarnation || peer.row.front != row.front;
    const bool isNews = changed || peer.row.storeLost != row.storeLost;
    peer = {row, now, isNews ? self_.heartbeat : peer.changedAtBeat};
    return changed;
}

void EntryMembership::merge(const std::vector<Heartbeat> &heartbeats, TimePoint now)
{
    std::map<std::uint32_t, const Heartbeat *> byHost;
    for (const auto &row : heartbeats)
        byHost[row.host] = &row;
    for (auto &[control, peer] : peers_) {
        const auto found = byHost.find(hostId(control));
        if (!peer.live || found == byHost.end() || found->second->heartbeat <= peer.row.heartbeat)
            continue;
        peer.row.heartbeat = found->second->heartbeat;
        peer.row.load = found->second->load;
        peer.heardAt = now;
    }
}

std::uint64_t EntryMembership::digest() const
{
    std::map<std::string, std::string> texts;
    for (const auto &row : liveRows()) {
        texts[row.control] = row.front + "|" + std::to_string(row.incarnation) + "|"
                             + std::to_string(static_cast<int>(row.phase))
                             + (row.storeLost ? "|lost" : "|");
    }
    std::string all;
    for (const auto &[control, text] : texts)
        all.append(control).append(text);
    return XXH64(all.data(), all.size(), 0);
}

std::vector<Heartbeat> EntryMembership::heartbeats() const
{
    std::vector<Heartbeat> heartbeats;
    for (const auto &row : liveRows())
        heartbeats.push_back({hostId(row.control), row.heartbeat, row.load});
    return heartbeats;
}

std::vector<Heartbeat> EntryMembership::regionHeartbeats() const
{
    std::vector<Heartbeat> heartbeats;
    for (const auto &row : liveRows()) {
        if (row.region == self_.region)
            heartbeats.push_back({hostId(row.control), row.heartbeat, row.load});
    }
    return heartbeats;
}

void EntryMembership::onPause(TimePoint now)
{
    for (auto &[control, peer] : peers_) {
        if (peer.live)
            peer.heardAt = now;
    }
}

bool EntryMembership::expire(TimePoint now)
{
    bool died = false;
    for (auto &[control, peer] : peers_) {
        const auto limit = peer.row.region == self_.region ? DeadTime : farDeadTime_;
        if (peer.live && now - peer.heardAt > limit) {
            peer.live = false;
            peer.changedAtBeat = self_.heartbeat;
            died = true;
        }
    }
    std::erase_if(peers_, [now](const auto &row) { return now - row.second.heardAt > ForgetTime; });
    return died;
}

std::vector<EntryRow> EntryMembership::liveRows() const
{
    std::vector<EntryRow> rows{self_};
    for (const auto &[control, peer] : peers_) {
        if (peer.live)
            rows.push_back(peer.row);
    }
    return rows;
}

std::vector<EntryRow> EntryMembership::rowsFor(const std::string &peer) const
{
    auto rows = liveRows();
    const auto found = peers_.find(peer);
    if (found != peers_.end() && !found->second.live)
        rows.push_back(found->second.row);
    return rows;
}

std::vector<EntryRow> EntryMembership::newsFor(const std::string &peer) const
{
    std::vector<EntryRow> rows{self_};
    for (const auto &[control, known] : peers_) {
        if (known.live ? isNews(known) : control == peer)
            rows.push_back(known.row);
    }
    return rows;
}

bool EntryMembership::isNews(const Peer &peer) const
{
    return self_.heartbeat - peer.changedAtBeat <= NewsBeats;
}

bool EntryMembership::isSettled() const
{
    return std::none_of(peers_.begin(), peers_.end(),
                        [this](const auto &row) { return isNews(row.second); });
}

bool EntryMembership::isNear(const std::string &control) const
{
    const auto found = peers_.find(control);
    return found != peers_.end() && found->second.row.region == self_.region;
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

StoreSource storeSourceOf(const std::vector<EntryRow> &rows, const std::string &self)
{
    // Hosts of each region that can pass records on, in an order that all agree on.
    std::map<std::string, std::vector<std::string>> byRegion;
    std::string ownRegion;
    for (const auto &row : rows) {
        if (row.control == self && row.storeLost)
            return {true, {}};
        if (row.control == self)
            ownRegion = row.region;
        if (!row.storeLost && row.phase != EntryPhase::Leaving)
            byRegion[row.region].push_back(row.control);
    }
    std::vector<std::string> readers;
    for (std::size_t rank = 0; readers.size() < StoreReaders && rank < rows.size(); ++rank) {
        for (auto &[region, hosts] : byRegion) {
            if (rank == 0)
                std::sort(hosts.begin(), hosts.end());
            if (rank < hosts.size() && readers.size() < StoreReaders)
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
        return {false, hosts[(rank - 1) / StoreFollowers]};
    return readers.empty() ? StoreSource{true, {}} : StoreSource{false, readers.front()};
}

std::vector<EntryRow> activeEntries(const std::vector<EntryRow> &entries)
{
    std::map<std::string, std::map<std::string, std::vector<EntryRow>>> byRegionAndDomain;
    std::map<std::string, std::uint64_t> loadOfRegion;
    for (const auto &row : entries) {
        loadOfRegion[row.region] += row.load;
        if (row.phase == EntryPhase::Ready)
            byRegionAndDomain[row.region][row.failureDomain].push_back(row);
    }
    std::vector<EntryRow> active;
    for (auto &[region, domains] : byRegionAndDomain) {
        std::size_t most = 0;
        for (auto &[domain, rows] : domains) {
            std::sort(rows.begin(), rows.end(), [](const EntryRow &left, const EntryRow &right) {
                return std::pair(right.capacity, left.control)
                       < std::pair(left.capacity, right.control);
            });
            most = std::max(most, rows.size());
        }
        std::uint64_t capacity = 0;
        const auto needed = loadOfRegion[region] * CapacityPerLoad;
        for (std::size_t rank = 0; rank < most; ++rank) {
            if (rank >= ActivePerDomain && capacity >= needed)
                break;
            for (const auto &[domain, rows] : domains) {
                if (rank >= rows.size())
                    continue;
                capacity += rows[rank].capacity;
                active.push_back(rows[rank]);
            }
        }
    }
    return active;
}

std::vector<EntryRow> chooseEntries(const std::vector<EntryRow> &entries,
                                    const std::string &callerRegion,
                                    const std::vector<std::string> &servingRegions,
                                    std::size_t most)
{
    const auto serves = [&servingRegions](const std::string &region) {
        return std::find(servingRegions.begin(), servingRegions.end(), region)
               != servingRegions.end();
    };
    const std::vector<std::function<bool(const EntryRow &)>> preferences{
            [&](const EntryRow &row) { return row.region == callerRegion && serves(callerRegion); },
            [&](const EntryRow &row) { return serves(row.region); },
            [](const EntryRow & /*row*/) { return true; },
    };
    const auto active = activeEntries(entries);
    std::vector<EntryRow> chosen;
    for (const auto &isPreferred : preferences) {
        std::copy_if(active.begin(), active.end(), std::back_inserter(chosen), isPreferred);
        if (!chosen.empty())
            break;
    }
    if (chosen.empty()) {
        std::copy_if(entries.begin(), entries.end(), std::back_inserter(chosen),
                     [](const EntryRow &row) { return row.phase == EntryPhase::Starting; });
    }
    if (chosen.size() > most)
        chosen.resize(most);
    return chosen;
}

} // namespace persimmon::state
