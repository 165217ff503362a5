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

/// One immutable picture of configuration, hosts and quarantine that decisions are made on.
/// Coordination builds a new one for each change; users hold it through a shared pointer.
struct ClusterView
{
    std::uint64_t configRevision = 0;
    std::map<std::string, protocol::Profile, std::less<>> profiles;
    std::map<std::string, protocol::GroupSettings, std::less<>> groups;
    std::map<std::string, protocol::GroupIndex, std::less<>> indexes;
    std::set<std::string, std::less<>> outDomains;
    std::set<std::string, std::less<>> outHosts;
    /// Entry hosts by name. Views between two changes of the host list share both maps of hosts.
    SharedMap<std::string, protocol::HostRecord> entryHosts;
    /// Upstreams by service; within a service in the order of their names.
    SharedMap<std::string, std::vector<protocol::HostRecord>> upstreams;
    std::set<std::uint64_t> quarantined;
    /// Entry hosts that announced their shutdown.
    std::set<std::string, std::less<>> leavingHosts;
    /// Incarnation and epoch of each host's entry daemon, where known.
    std::map<std::string, protocol::EntryIncarnation, std::less<>> incarnations;

    /// @return whether @p host may get new work: live, not leaving, not out of service, and not in
    ///         a failure domain that is out of service.
    bool isAvailable(const protocol::HostRecord &host) const;

    /// @return the upstreams of @p service that may get new work.
    std::vector<protocol::HostRecord> availableUpstreams(std::string_view service) const;
};

} // namespace persimmon::state
