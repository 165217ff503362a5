#include "state/host_list.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace persimmon::state {

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

bool HostList::replace(std::uint64_t revision, const std::vector<HostRecord> &hosts)
{
    if (revision <= revision_)
        return false;
    const bool isFirst = revision_ == 0;
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
    revision_ = revision;
    if (isFirst) {
        log_.clear();
        logStart_ = revision;
    }
    return true;
}

bool HostList::apply(std::uint64_t revision, const HostsDelta &delta, std::uint64_t digest)
{
    if (revision <= revision_)
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
        erase(revision, name);
    for (const auto &host : delta.changed)
        put(revision, host);
    revision_ = revision;
    return true;
}

std::optional<HostsDelta> HostList::since(std::uint64_t revision) const
{
    if (revision < logStart_ || revision == 0)
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
