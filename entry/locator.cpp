#include "entry/locator.h"

namespace persimmon::entry {

Locator::Locator(EntryIdentity identity, std::chrono::milliseconds validFor,
                 std::uint16_t entryPort, EntryProber &prober)
    : identity_(std::move(identity)),
      validFor_(validFor),
      entryPort_(entryPort),
      epochs_(identity_.started),
      prober_(prober)
{
}

std::optional<protocol::LocateResponse>
Locator::locate(const state::ClusterView &view, std::string_view caller, state::TimePoint now) const
{
    for (const auto &host : state::rankEntries(view, caller)) {
        const auto home = findHome(view, host, now);
        if (!home || !prober_.isReachable(host))
            continue;
        const auto &address = view.entryHosts.at(host).address;
        return protocol::LocateResponse{address + ":" + std::to_string(entryPort_), validFor_,
                                        state::formatHome(*home)};
    }
    return std::nullopt;
}

std::optional<state::Home> Locator::findHome(const state::ClusterView &view,
                                             const std::string &host, state::TimePoint now) const
{
    // The view may still contain the previous incarnation of this host.
    if (host == identity_.host)
        return state::Home{host, identity_.incarnation, epochs_.epochAt(now)};
    const auto found = view.incarnations.find(host);
    if (found == view.incarnations.end())
        return std::nullopt;
    return state::Home{host, found->second.incarnation, found->second.epoch};
}

} // namespace persimmon::entry
