#include "state/record_mirror.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace persimmon::state {

std::vector<StoreRecord> RecordMirror::apply(const std::vector<StoreRecord> &changes,
                                             std::uint64_t asOf)
{
    std::vector<StoreRecord> current;
    // Changes up to the revision of this copy are late or duplicate deliveries. A key that the copy
    // lacks was deleted and must not be restored by them.
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(current),
                 [this](const StoreRecord &change) { return change.revision > revision_; });
    return applyAll(current, asOf);
}

std::vector<StoreRecord> RecordMirror::applySnapshot(const std::vector<StoreRecord> &items,
                                                     std::uint64_t asOf)
{
    // A read that is older than this copy shows nothing new, and records whose tombstones were
    // dropped would return.
    if (asOf < revision_)
        return {};
    std::set<std::string> seen;
    for (const auto &item : items)
        seen.insert(item.key);
    std::vector<StoreRecord> changes = items;
    for (const auto &[key, record] : records_) {
        if (record.value && record.revision <= asOf && !seen.contains(key))
            changes.push_back({key, asOf, std::nullopt});
    }
    tombstonesCompleteSince_ = std::max(tombstonesCompleteSince_, asOf);
    return applyAll(changes, asOf);
}

std::vector<StoreRecord> RecordMirror::applyAll(const std::vector<StoreRecord> &changes,
                                                std::uint64_t asOf)
{
    std::vector<StoreRecord> applied;
    for (const auto &change : changes) {
        if (applyOne(change))
            applied.push_back(change);
    }
    revision_ = std::max(revision_, asOf);
    dropOldTombstones();
    return applied;
}

std::vector<StoreRecord> RecordMirror::apply(const RecordDelta &delta)
{
    return delta.isSnapshot ? applySnapshot(delta.records, delta.asOf)
                            : apply(delta.records, delta.asOf);
}

RecordDelta RecordMirror::deltaSince(std::uint64_t revision) const
{
    if (revision < tombstonesCompleteSince_)
        return {records(), revision_, true};
    RecordDelta delta{{}, revision_, false};
    for (const auto &[key, record] : records_) {
        if (record.revision > revision)
            delta.records.push_back(record);
    }
    return delta;
}

std::vector<StoreRecord> RecordMirror::records() const
{
    std::vector<StoreRecord> existing;
    for (const auto &[key, record] : records_) {
        if (record.value)
            existing.push_back(record);
    }
    return existing;
}

bool RecordMirror::applyOne(const StoreRecord &record)
{
    auto &known = records_[record.key];
    // A deletion that was inferred from a snapshot has the revision of the snapshot, which may
    // equal that of a write that the pages missed.
    if (record.revision < known.revision || (record.revision == known.revision && known.value))
        return false;
    if (known.revision == record.revision && known.value == record.value)
        return false;
    const bool wasDeleted = known.revision > 0 && !known.value;
    tombstoneCount_ += (record.value ? 0 : 1) - (wasDeleted ? 1 : 0);
    known = record;
    return true;
}

void RecordMirror::dropOldTombstones()
{
    if (tombstoneCount_ <= MaxTombstones)
        return;
    std::vector<std::uint64_t> revisions;
    for (const auto &[key, record] : records_) {
        if (!record.value)
            revisions.push_back(record.revision);
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    const auto oldest = *middle;
    tombstonesCompleteSince_ = std::max(tombstonesCompleteSince_, oldest);
    tombstoneCount_ -= std::erase_if(records_, [oldest](const auto &entry) {
        return !entry.second.value && entry.second.revision < oldest;
    });
}

} // namespace persimmon::state
