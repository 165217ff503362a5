#include "state/relay_peers.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// Factors on the cost of a host outside the own failure domain and outside the own region.
constexpr double OtherDomainFactor = 1.2;
constexpr double OtherRegionFactor = 1.6;
/// Lower bound of the free fraction of a host's capacity.
constexpr double MinHeadroom = 0.05;
/// Upper bound of the random factor, by which similar hosts take turns.
constexpr double MaxRandomFactor = 1.5;

bool mayServe(const MemberState &self, const MemberState &peer,
              const std::vector<std::string> &regions)
{
    const bool inRegion =
            regions.empty()
            || std::find(regions.begin(), regions.end(), peer.region) != regions.end();
    return peer.control != self.control && peer.phase == EntryPhase::Ready && !peer.relay.empty()
           && !peer.upstreamsUnreachable && inRegion;
}

} // namespace

std::optional<MemberState> RelayPeers::choose(const std::vector<MemberState> &members,
                                              const std::vector<std::string> &regions,
                                              const std::set<std::string> &excluded)
{
    std::optional<MemberState> best;
    double lowest = 0;
    for (const auto &member : members) {
        if (!mayServe(members.front(), member, regions) || excluded.contains(member.control))
            continue;
        const auto memberCost = cost(members.front(), member);
        if (best && memberCost >= lowest)
            continue;
        best = member;
        lowest = memberCost;
    }
    return best;
}

bool RelayPeers::hasPeer(const std::vector<MemberState> &members,
                         const std::vector<std::string> &regions)
{
    return std::any_of(members.begin(), members.end(), [&](const MemberState &member) {
        return mayServe(members.front(), member, regions);
    });
}

void RelayPeers::onEnded(const std::string &host)
{
    const auto found = inFlight_.find(host);
    if (--found->second == 0)
        inFlight_.erase(found);
}

double RelayPeers::cost(const MemberState &self, const MemberState &peer)
{
    const auto found = inFlight_.find(peer.control);
    const auto inFlight = found == inFlight_.end() ? 0.0 : static_cast<double>(found->second);
    const double utilization = static_cast<double>(peer.load) / std::max(1U, peer.capacity);
    double distance = peer.failureDomain == self.failureDomain ? 1 : OtherDomainFactor;
    if (peer.region != self.region)
        distance = OtherRegionFactor;
    const auto factor = std::uniform_real_distribution<double>(1, MaxRandomFactor)(random_);
    return (1 + inFlight) / std::max(MinHeadroom, 1 - utilization) * distance * factor;
}

} // namespace persimmon::state
