#pragma once

#include "protocol/platform_messages.h"
#include "standin/deployment.h"

#include <map>

namespace persimmon::standin {

/// Versioned data of the configuration service and of the host list, each with its own revision.
/// Both are restored together and share the era.
class SimulatedPlatformStore
{
public:
    explicit SimulatedPlatformStore(const Deployment &deployment);

    /// Sets a key, or deletes it if @p value is std::nullopt. Values are not validated, so that
    /// tests can publish invalid ones.
    /// @return the new revision.
    std::uint64_t set(const std::string &key, std::optional<std::string> value);

    /// @return the latest value of each key that changed after @p since; all if it is of an
    ///         earlier era.
    protocol::ConfigResponse changes(const protocol::HistoryPosition &since) const;

    std::uint64_t revision() const { return revision_; }
    std::uint64_t era() const { return era_; }

    /// Goes back to the data of an older copy and starts the next era.
    void restore(const SimulatedPlatformStore &copy);

    const std::vector<protocol::HostRecord> &hosts() const { return hosts_; }
    std::uint64_t hostsRevision() const { return hostsRevision_; }

    /// Adds @p host or replaces the host of the same name.
    void putHost(protocol::HostRecord host);
    void removeHost(const std::string &name);

    /// @return the full list if it changed after @p since, otherwise only the revision.
    protocol::HostsResponse hostChanges(const protocol::HistoryPosition &since) const;

private:
    std::map<std::string, protocol::ConfigEntry> entries_;
    std::uint64_t revision_ = 1;
    std::vector<protocol::HostRecord> hosts_;
    std::uint64_t hostsRevision_ = 1;
    std::uint64_t era_ = 1;
};

} // namespace persimmon::standin
