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
    entries_[key] = {key, revision_, std::move(value), era_};
    return revision_;
}

void SimulatedPlatformStore::restore(const SimulatedPlatformStore &copy)
{
    const auto nextEra = era_ + 1;
    *this = copy;
    era_ = nextEra;
}

protocol::ConfigResponse
SimulatedPlatformStore::changes(const protocol::HistoryPosition &since) const
{
    const bool isComplete = since.era < era_ || since.revision == 0;
    protocol::ConfigResponse reply{revision_, {}, era_, isComplete};
    for (const auto &[key, entry] : entries_) {
        if (isComplete || entry.revision > since.revision)
            reply.entries.push_back(entry);
    }
    return reply;
}

void SimulatedPlatformStore::putHost(protocol::HostRecord host)
{
    ++hostsRevision_;
    host.era = era_;
    host.revision = hostsRevision_;
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

protocol::HostsResponse
SimulatedPlatformStore::hostChanges(const protocol::HistoryPosition &since) const
{
    if (since >= protocol::HistoryPosition{era_, hostsRevision_})
        return {hostsRevision_, std::nullopt, era_};
    return {hostsRevision_, hosts_, era_};
}

} // namespace persimmon::standin
