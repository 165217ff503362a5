#include "state/host_list.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace persimmon::state {

using protocol::HistoryPosition;
using protocol::HostRecord;
using protocol::HostsDelta;

namespace {

std::uint64_t hashHost(const HostRecord &host)
{
    auto hash = static_cast<std::uint64_t>(host.kind) * 2 + static_cast<std::uint64_t>(host.state);
    for (const auto *text : {&host.name, &host.address, &host.failureDomain, &host.service})
        hash = XXH64(text->data(), text->size(), hash);
    return hash;
}

} // namespace

bool HostList::replace(const HistoryPosition &position, const std::vector<HostRecord> &hosts)
{
    if (position <= position_)
        return false;
    const bool isFirst = position_.revision == 0;
    beginEra(position);
    position_ = position;
    putAll(position.revision, reconciled_ ? hosts : withKnownRows(hosts));
    if (isFirst)
        restartLog();
    return true;
}

bool HostList::adopt(const HistoryPosition &position, const std::vector<HostRecord> &hosts)
{
    if (position < position_)
        return false;
    beginEra(position);
    position_ = position;
    reconciled_ = true;
    putAll(position.revision, hosts);
    // Peers that follow the log may have kept hosts that are not in it.
    restartLog();
    return true;
}

void HostList::beginEra(const HistoryPosition &position)
{
    if (position.era == position_.era)
        return;
    earlierEraEnd_ = position_;
    position_ = position;
    reconciled_ = position.era == 1;
    restartLog();
}

/// @return the rows of a restored service, with the known ones in place of those that it shows
///         older or lacks. A host that is not known and was not written since has left.
std::vector<HostRecord> HostList::withKnownRows(const std::vector<HostRecord> &hosts) const
{
    std::vector<HostRecord> rows;
    std::set<std::string_view> listed;
    for (const auto &host : hosts) {
        listed.insert(host.name);
        const auto known = hosts_.find(host.name);
        if (host.position() > earlierEraEnd_)
            rows.push_back(host);
        else if (known != hosts_.end())
            rows.push_back(known->second);
    }
    for (const auto &[name, known] : hosts_) {
        if (known.era < position_.era && !listed.contains(name))
            rows.push_back(known);
    }
    return rows;
}

void HostList::putAll(std::uint64_t revision, const std::vector<HostRecord> &hosts)
{
    std::set<std::string_view> names;
    for (const auto &host : hosts) {
        names.insert(host.name);
        put(revision, host);
    }
    std::vector<std::string> removed;
    for (const auto &[name, host] : hosts_) {
        if (!names.contains(name))
            removed.push_back(name);
    }
    for (const auto &name : removed)
        erase(revision, name);
}

void HostList::restartLog()
{
    log_.clear();
    logStart_ = position_.revision;
}

bool HostList::apply(const HistoryPosition &position, const HostsDelta &delta, std::uint64_t digest)
{
    if (position.era != position_.era || position <= position_)
        return false;
    auto expected = digest_;
    std::set<std::string_view> touched;
    const auto subtractOld = [&](const std::string &name) {
        const auto found = hosts_.find(name);
        if (touched.insert(name).second && found != hosts_.end())
            expected -= hashHost(found->second);
    };
    for (const auto &name : delta.removed)
        subtractOld(name);
    for (const auto &host : delta.changed) {
        subtractOld(host.name);
        expected += hashHost(host);
    }
    if (expected != digest)
        return false;
    for (const auto &name : delta.removed)
        erase(position.revision, name);
    for (const auto &host : delta.changed)
        put(position.revision, host);
    position_ = position;
    return true;
}

std::optional<HostsDelta> HostList::since(const HistoryPosition &position) const
{
    const auto revision = position.revision;
    if (position.era != position_.era || revision < logStart_ || revision == 0)
        return std::nullopt;
    std::set<std::string_view> names;
    for (auto it = log_.rbegin(); it != log_.rend() && it->revision > revision; ++it)
        names.insert(it->name);
    HostsDelta delta;
    for (const auto name : names) {
        const auto found = hosts_.find(std::string(name));
        if (found == hosts_.end())
            delta.removed.emplace_back(name);
        else
            delta.changed.push_back(found->second);
    }
    return delta;
}

std::vector<HostRecord> HostList::all() const
{
    std::vector<HostRecord> hosts;
    hosts.reserve(hosts_.size());
    forEach([&](const auto &host) { hosts.push_back(host); });
    return hosts;
}

void HostList::put(std::uint64_t revision, const HostRecord &host)
{
    const auto [found, isNew] = hosts_.try_emplace(host.name, host);
    if (!isNew) {
        if (found->second == host)
            return;
        digest_ -= hashHost(found->second);
        found->second = host;
    }
    digest_ += hashHost(host);
    log(revision, host.name);
}

void HostList::erase(std::uint64_t revision, const std::string &name)
{
    const auto found = hosts_.find(name);
    if (found == hosts_.end())
        return;
    digest_ -= hashHost(found->second);
    hosts_.erase(found);
    log(revision, name);
}

void HostList::log(std::uint64_t revision, const std::string &name)
{
    log_.push_back({revision, name});
    if (log_.size() <= MaxLogEntries)
        return;
    logStart_ = log_.front().revision;
    log_.pop_front();
}

} // namespace persimmon::state
