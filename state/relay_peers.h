#pragma once

#include "state/entry_membership.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// Selects the hosts to which this host passes on the requests that it cannot serve. Prefers hosts
/// that are near and have capacity left, and spreads concurrent requests. Not thread-safe.
class RelayPeers
{
public:
    /// @param seed seed of the random selection among similar hosts.
    explicit RelayPeers(std::uint64_t seed) : random_(seed) {}

    /// @param members live hosts, this one first.
    /// @param regions regions that may receive the request; empty for all.
    /// @param excluded control addresses of hosts that must not be selected.
    /// @return the host to use, or std::nullopt if none can reach upstreams.
    std::optional<MemberState> choose(const std::vector<MemberState> &members,
                                      const std::vector<std::string> &regions,
                                      const std::set<std::string> &excluded);

    /// @return whether choose() finds a host.
    static bool hasPeer(const std::vector<MemberState> &members,
                        const std::vector<std::string> &regions);

    /// Records the start and the end of a request that is passed on to @p host.
    void onStarted(const std::string &host) { ++inFlight_[host]; }
    void onEnded(const std::string &host);

private:
    double cost(const MemberState &self, const MemberState &peer);

    std::mt19937_64 random_;
    /// Requests in progress by control address.
    std::map<std::string, std::size_t> inFlight_;
};

} // namespace persimmon::state
