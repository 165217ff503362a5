#include "standin/simulated_platform_store.h"

#include <algorithm>

namespace persimmon::standin {

SimulatedPlatformStore::SimulatedPlatformStore(const Deployment &deployment)
    : hosts_(deployment.hosts)
{
    for (const auto &[key, value] : deployment.values)
        entries_[key] = {key, revision_, value};
}

std::uint64_t SimulatedPlatformStore::set(const std::string &key, std::optional<std::string> value)
{
    ++revision_;
    entries_[key] = {key, revision_, std::move(value)};
    return revision_;
}

protocol::ConfigResponse SimulatedPlatformStore::changes(std::uint64_t since) const
{
    protocol::ConfigResponse reply{revision_, {}};
    for (const auto &[key, entry] : entries_) {
        if (entry.revision > since)
            reply.entries.push_back(entry);
    }
    return reply;
}

void SimulatedPlatformStore::putHost(const protocol::HostRecord &host)
{
    ++hostsRevision_;
    const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                    [&](const auto &row) { return row.name == host.name; });
    if (found == hosts_.end())
        hosts_.push_back(host);
    else
        *found = host;
}

void SimulatedPlatformStore::removeHost(const std::string &name)
{
    ++hostsRevision_;
    std::erase_if(hosts_, [&](const auto &row) { return row.name == name; });
}

protocol::HostsResponse SimulatedPlatformStore::hostChanges(std::uint64_t since) const
{
    if (since >= hostsRevision_)
        return {hostsRevision_, std::nullopt};
    return {hostsRevision_, hosts_};
}

} // namespace persimmon::standin
