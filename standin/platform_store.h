#pragma once

#include "protocol/platform_messages.h"
#include "standin/deployment.h"

#include <map>

namespace persimmon::standin {

/// Contents of the configuration service and of the host list, each with its revision.
class PlatformStore
{
public:
    explicit PlatformStore(const Deployment &deployment);

    /// Sets a key, or deletes it when @p value is nothing. Values are not validated, so that tests
    /// can publish invalid ones.
    /// @return the new revision.
    std::uint64_t set(const std::string &key, std::optional<std::string> value);

    /// @return the newest value of each key changed after @p since.
    protocol::ConfigReply changes(std::uint64_t since) const;

    std::uint64_t revision() const { return revision_; }

    const std::vector<protocol::HostRecord> &hosts() const { return hosts_; }
    std::uint64_t hostsRevision() const { return hostsRevision_; }

    /// Adds @p host or replaces the row with its name.
    void putHost(const protocol::HostRecord &host);
    void removeHost(const std::string &name);

    /// @return the whole list when it changed after @p since.
    protocol::HostsReply hostChanges(std::uint64_t since) const;

private:
    std::map<std::string, protocol::ConfigEntry> entries_;
    std::uint64_t revision_ = 1;
    std::vector<protocol::HostRecord> hosts_;
    std::uint64_t hostsRevision_ = 1;
};

} // namespace persimmon::standin
