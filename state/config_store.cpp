#include "state/config_store.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace persimmon::state {

namespace {

/// @return the part of @p key after the slash, such as the name of a profile.
std::string nameOf(std::string_view key)
{
    return std::string(key.substr(key.find('/') + 1));
}

/// Writes a parsed document to the member of the view that its key and type select.
struct DocumentWriter
{
    ClusterView &view;
    std::string_view key;

    void operator()(const protocol::Profile &profile) const
    {
        view.profiles[nameOf(key)] = profile;
    }

    void operator()(const protocol::GroupSettings &group) const
    {
        view.groups[nameOf(key)] = group;
    }

    void operator()(const protocol::GroupIndex &index) const { view.indexes[nameOf(key)] = index; }

    void operator()(const protocol::OutOfService &out) const
    {
        auto &names = key == "out/domains" ? view.outDomains : view.outHosts;
        names.insert(out.names.begin(), out.names.end());
    }
};

} // namespace

std::uint64_t ConfigStore::hashRecord(const Record &record)
{
    const std::array<std::uint64_t, 2> revisions{record.newest.revision, record.valid.revision};
    const auto seed = XXH64(revisions.data(), sizeof revisions, 0);
    return XXH64(record.newest.key.data(), record.newest.key.size(), seed);
}

std::vector<ConfigChange> ConfigStore::merge(const std::vector<protocol::ConfigEntry> &entries,
                                             std::string_view source)
{
    std::vector<ConfigChange> changes;
    for (const auto &entry : entries) {
        if (auto change = mergeEntry(entry, source))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::optional<ConfigChange> ConfigStore::mergeEntry(const protocol::ConfigEntry &entry,
                                                    std::string_view source)
{
    const auto found = records_.find(entry.key);
    const auto known = found == records_.end() ? Record{} : found->second;
    const bool isNewest = entry.revision > known.newest.revision;
    if (!isNewest && entry.revision <= known.valid.revision)
        return std::nullopt;
    ConfigChange change{std::string(source), entry.key, known.valid.revision, entry.revision, {}};
    auto next = known;
    if (isNewest)
        next.newest = entry;
    if (!entry.value) {
        next.valid = entry;
        next.document.reset();
    } else if (auto parsed = protocol::parseConfigDocument(entry.key, *entry.value); isOk(parsed)) {
        next.valid = entry;
        next.document = takeValue(parsed);
    } else {
        change.fault = errorOf(parsed);
        if (!isNewest)
            return std::nullopt;
    }
    if (found != records_.end())
        digest_ -= hashRecord(known);
    digest_ += hashRecord(next);
    records_[entry.key] = std::move(next);
    return change;
}

std::vector<protocol::ConfigEntry> ConfigStore::entriesSince(std::uint64_t since) const
{
    std::vector<protocol::ConfigEntry> entries;
    for (const auto &[key, record] : records_) {
        if (record.valid.revision > 0 && record.valid.revision < record.newest.revision)
            entries.push_back(record.valid);
        if (record.newest.revision > since)
            entries.push_back(record.newest);
    }
    return entries;
}

std::vector<protocol::ConfigEntry> ConfigStore::entriesInEffect() const
{
    std::vector<protocol::ConfigEntry> entries;
    for (const auto &[key, record] : records_) {
        if (record.document)
            entries.push_back(record.valid);
    }
    return entries;
}

void ConfigStore::writeTo(ClusterView &view) const
{
    view.configRevision = revision_;
    for (const auto &[key, record] : records_) {
        if (record.document)
            std::visit(DocumentWriter{view, key}, *record.document);
    }
}

} // namespace persimmon::state
