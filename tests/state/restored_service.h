#pragma once

#include "state/state.h"

#include <map>
#include <set>
#include <string>

namespace persimmon::state {

using Names = std::set<std::string, std::less<>>;

/// Model of a configuration service and a host list that are restored from an older copy.
struct Service
{
    void set(const std::string &key, std::optional<std::string> value)
    {
        ++revision;
        entries[key] = {key, revision, std::move(value), era};
    }

    void putHost(const std::string &name, protocol::HostState state = protocol::HostState::Live)
    {
        ++revision;
        hosts[name] = {name, protocol::HostKind::Entry, "a", "d", "", state, era, revision};
    }

    void removeHost(const std::string &name)
    {
        ++revision;
        hosts.erase(name);
    }

    void restore(const Service &copy)
    {
        const auto nextEra = era + 1;
        *this = copy;
        era = nextEra;
    }

    protocol::ConfigResponse config() const
    {
        protocol::ConfigResponse reply{revision, {}, era, true};
        for (const auto &[key, entry] : entries)
            reply.entries.push_back(entry);
        return reply;
    }

    protocol::HostsResponse hostList() const
    {
        protocol::HostsResponse reply{revision, std::vector<protocol::HostRecord>(), era};
        for (const auto &[name, host] : hosts)
            reply.hosts->push_back(host);
        return reply;
    }

    std::uint64_t era = 1;
    std::uint64_t revision = 0;
    std::map<std::string, protocol::ConfigEntry> entries;
    std::map<std::string, protocol::HostRecord> hosts;
};

inline void exchange(ViewStore &requester, ViewStore &responder, ViewStore::TimePoint now)
{
    const auto request = requester.makeRequest(now);
    responder.applyRequest(request, now);
    requester.applyReply(responder.makeReply(request, now), now, now);
}

} // namespace persimmon::state
