#pragma once

#include "protocol/protocol.h"
#include "state/shared_map.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::state {

/// Immutable snapshot of configuration, hosts and quarantine on which requests are planned.
/// ViewStore builds a new one after each change; users hold it through a shared pointer.
struct ClusterView
{
    std::uint64_t configEra = 1;
    std::uint64_t configRevision = 0;
    std::map<std::string, protocol::Profile, std::less<>> profiles;
    std::map<std::string, protocol::GroupSettings, std::less<>> groups;
    std::map<std::string, protocol::GroupIndex, std::less<>> indexes;
    std::set<std::string, std::less<>> outDomains;
    std::set<std::string, std::less<>> outHosts;
    /// Entry hosts by name. Consecutive views share both host maps until the host list changes.
    SharedMap<std::string, protocol::HostRecord> entryHosts;
    /// Upstreams by service, sorted by name within a service.
    SharedMap<std::string, std::vector<protocol::HostRecord>> upstreams;
    /// Fingerprints of quarantined queries.
    std::set<std::uint64_t> quarantined;
    /// Entry hosts that have announced their shutdown.
    std::set<std::string, std::less<>> leavingHosts;
    /// Incarnation and epoch of each host's entry daemon, where known.
    std::map<std::string, protocol::EntryIncarnation, std::less<>> incarnations;

    protocol::HistoryPosition configPosition() const { return {configEra, configRevision}; }

    /// @return whether @p host can be assigned new work: it is live, not leaving, and neither the
    ///         host nor its failure domain is out of service.
    bool isAvailable(const protocol::HostRecord &host) const;

    /// @return the available upstreams of @p service.
    std::vector<protocol::HostRecord> availableUpstreams(std::string_view service) const;
};

} // namespace persimmon::state
