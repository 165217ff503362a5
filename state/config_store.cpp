#include "state/config_store.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

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
    // In the first era the hash is that of builds that know of no eras.
    const std::array<std::uint64_t, 2> eras{record.newest.era, record.valid.era};
    const bool isFirstEra = eras == std::array<std::uint64_t, 2>{1, 1};
    const auto eraSeed = isFirstEra ? 0 : XXH64(eras.data(), sizeof eras, 0);
    const auto seed = XXH64(revisions.data(), sizeof revisions, eraSeed);
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
    const bool isKnown = found != records_.end();
    const auto known = isKnown ? found->second : Record{};
    const bool isNewest = entry.position() > known.newest.position();
    if (isLost(entry, isKnown) || (!isNewest && entry.position() <= known.valid.position()))
        return std::nullopt;
    const bool isRepeated = isNewest && isKnown && entry.value == known.newest.value;
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
    if (isKnown)
        digest_ -= hashRecord(known);
    digest_ += hashRecord(next);
    records_[entry.key] = std::move(next);
    // The same value in a later era was adopted or written again and changes nothing.
    if (isRepeated && entry.era > known.newest.era)
        return std::nullopt;
    return change;
}

/// @return whether the entry belongs to a key that a restore has lost. The key must not return from
///         a store that has not yet adopted the state of the service.
bool ConfigStore::isLost(const protocol::ConfigEntry &entry, bool isKnown) const
{
    return reconciled_ && !isKnown && entry.era < position_.era;
}

void ConfigStore::advanceTo(const protocol::HistoryPosition &position)
{
    if (position.era > position_.era)
        reconciled_ = position.era == 1;
    position_ = std::max(position_, position);
}

std::vector<ConfigChange> ConfigStore::reconcile(const std::vector<protocol::ConfigEntry> &entries,
                                                 std::string_view source)
{
    auto changes = merge(entries, source);
    std::set<std::string_view> present;
    for (const auto &entry : entries)
        present.insert(entry.key);
    // Other stores may hold these keys, but isLost() keeps them out.
    std::erase_if(records_, [&](const auto &item) {
        const auto &[key, record] = item;
        if (record.newest.era >= position_.era || present.contains(key))
            return false;
        if (record.document)
            changes.push_back({std::string(source), key, record.valid.revision, 0, {}});
        digest_ -= hashRecord(record);
        return true;
    });
    reconciled_ = true;
    return changes;
}

std::vector<protocol::ConfigEntry>
ConfigStore::entriesSince(const protocol::HistoryPosition &since) const
{
    std::vector<protocol::ConfigEntry> entries;
    for (const auto &[key, record] : records_) {
        if (record.newest.position() > since)
            entries.push_back(record.newest);
        // A store that knows the newest entry takes the valid one of an earlier era, see isLost().
        const bool hasValid = record.valid.position() > protocol::ConfigEntry{}.position();
        if (hasValid && record.valid.position() < record.newest.position())
            entries.push_back(record.valid);
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
    view.configEra = protocol::statedEra(position_);
    view.configRevision = position_.revision;
    for (const auto &[key, record] : records_) {
        if (record.document)
            std::visit(DocumentWriter{view, key}, *record.document);
    }
}

} // namespace persimmon::state
