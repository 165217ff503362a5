#include "state/record_mirror.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmon::state {

RecordMirror::RecordMirror(ContentVersionOf contentVersionOf) : order_(std::move(contentVersionOf))
{
}

std::vector<StoreRecord> RecordMirror::apply(const std::vector<StoreRecord> &changes,
                                             const StorePosition &asOf)
{
    if (position_ == StorePosition{})
        position_.era = asOf.era;
    if (asOf.era != position_.era)
        return {};
    return applyChanges(withDeletedWrites(changes), asOf);
}

/// The changes of a watch are complete, so a deletion removes the last write known of this era.
std::vector<StoreRecord>
RecordMirror::withDeletedWrites(const std::vector<StoreRecord> &changes) const
{
    std::map<std::string, StoreRecord> last;
    std::vector<StoreRecord> result;
    for (const auto &change : changes) {
        const auto known = records_.find(change.key);
        if (known != records_.end() && !isOfEarlierEra(known->second))
            last.emplace(change.key, known->second);
        const auto before = last.find(change.key);
        result.push_back(change);
        if (!change.value && before != last.end())
            result.back() = order_.makeTombstone(before->second, {change.era, change.revision});
        last.insert_or_assign(change.key, result.back());
    }
    return result;
}

std::vector<StoreRecord> RecordMirror::applyChanges(const std::vector<StoreRecord> &changes,
                                                    const StorePosition &asOf)
{
    if (asOf.era != position_.era)
        return {};
    std::vector<StoreRecord> current;
    // Changes up to the revision of this copy are late or duplicate deliveries. A key that the copy
    // lacks was deleted and must not be restored by them.
    std::copy_if(
            changes.begin(), changes.end(), std::back_inserter(current),
            [this](const StoreRecord &change) { return change.revision > position_.revision; });
    for (auto &change : current) {
        change.era = asOf.era;
        change.isConfirmed = true;
    }
    return applyAll(current, asOf);
}

std::vector<StoreRecord> RecordMirror::applySnapshot(const std::vector<StoreRecord> &items,
                                                     const StorePosition &asOf)
{
    // A read that is older than this copy shows nothing new, and records whose tombstones were
    // dropped would return.
    if (asOf < position_)
        return {};
    if (asOf.era != position_.era)
        beginEra(asOf);
    auto read = items;
    for (auto &item : read) {
        item.era = position_.era;
        item.isConfirmed = reconciled_;
    }
    return applyComplete(std::move(read), asOf);
}

std::vector<StoreRecord> RecordMirror::applyComplete(std::vector<StoreRecord> changes,
                                                     const StorePosition &asOf)
{
    doubtful_.clear();
    std::set<std::string> stored;
    for (auto &change : changes) {
        if (!isInStore(change))
            continue;
        stored.insert(change.key);
        change.isConfirmed = change.isConfirmed || change.revision > eraStart_;
    }
    const auto deletions = deletionsExcept(stored, asOf);
    changes.insert(changes.end(), deletions.begin(), deletions.end());
    tombstonesCompleteSince_ = std::max(tombstonesCompleteSince_, asOf.revision);
    auto applied = applyAll(changes, asOf);
    missing_.clear();
    for (const auto &[key, record] : records_) {
        if (record.value && isOfEarlierEra(record) && !stored.contains(key))
            missing_.insert(key);
    }
    return applied;
}

void RecordMirror::beginEra(const StorePosition &position)
{
    position_ = position;
    eraStart_ = position.revision;
    tombstonesCompleteSince_ = position.revision;
    reconciled_ = false;
    doubtful_.clear();
    missing_.clear();
}

bool RecordMirror::isOfEarlierEra(const StoreRecord &record) const
{
    return record.era < position_.era;
}

bool RecordMirror::isInStore(const StoreRecord &record) const
{
    return record.value && !isOfEarlierEra(record);
}

std::vector<StoreRecord> RecordMirror::deletionsExcept(const std::set<std::string> &stored,
                                                       const StorePosition &asOf) const
{
    std::vector<StoreRecord> deletions;
    for (const auto &[key, record] : records_) {
        // Later writes than the known one may have been deleted too, so the tombstone names none.
        if (isInStore(record) && !stored.contains(key) && record.revision <= asOf.revision)
            deletions.push_back({key, asOf.revision, std::nullopt, asOf.era, true});
    }
    return deletions;
}

std::vector<StoreRecord> RecordMirror::apply(const RecordDelta &delta)
{
    if (delta.isSnapshot)
        return applyPeerSnapshot(delta);
    if (delta.asOf.era != position_.era)
        return {};
    auto current = delta.records;
    std::vector<StoreRecord> earlier;
    std::copy_if(current.begin(), current.end(), std::back_inserter(earlier),
                 [this](const auto &record) { return isOfEarlierEra(record); });
    std::erase_if(current, [this](const auto &record) { return isOfEarlierEra(record); });
    auto applied = applyEarlierEra(earlier);
    const auto changed = applyChanges(current, delta.asOf);
    applied.insert(applied.end(), changed.begin(), changed.end());
    return applied;
}

std::vector<StoreRecord> RecordMirror::applyEarlierEra(const std::vector<StoreRecord> &records)
{
    std::vector<StoreRecord> applied;
    // What a reconciled copy lacks of earlier eras was not written again.
    if (reconciled_)
        return applied;
    for (const auto &record : records) {
        const bool isMissing = record.value && !records_.contains(record.key);
        if (!applyOne(record))
            continue;
        applied.push_back(record);
        if (isMissing)
            missing_.insert(record.key);
    }
    return applied;
}

bool RecordMirror::isUnknownToStore(const StoreRecord &record) const
{
    return isOfEarlierEra(record)
           && (missing_.contains(record.key) || doubtful_.contains(record.key));
}

std::vector<StoreRecord> RecordMirror::applyPeerSnapshot(const RecordDelta &delta)
{
    if (delta.asOf < position_)
        return {};
    if (delta.asOf.era != position_.era)
        beginEra(delta.asOf);
    auto records = delta.records;
    // What a reconciled copy lacks of earlier eras was not written again.
    if (reconciled_)
        std::erase_if(records, [this](const auto &record) { return isOfEarlierEra(record); });
    auto applied = applyComplete(std::move(records), delta.asOf);
    if (delta.isReconciled) {
        const auto adopted = reconcile();
        applied.insert(applied.end(), adopted.begin(), adopted.end());
    }
    return applied;
}

std::vector<StoreRecord> RecordMirror::applyAll(const std::vector<StoreRecord> &changes,
                                                const StorePosition &asOf)
{
    std::vector<StoreRecord> applied;
    for (const auto &change : changes) {
        if (applyOne(change))
            applied.push_back(change);
    }
    position_ = std::max(position_, asOf);
    dropOldTombstones();
    return applied;
}

bool RecordMirror::applyOne(const StoreRecord &record)
{
    const auto found = records_.find(record.key);
    if (found == records_.end()) {
        put(record);
        return true;
    }
    const auto known = found->second;
    const bool differs = known.value != record.value;
    const bool isOtherWrite = differs || known.revision != record.revision;
    if (!order_.replaces(record, known)) {
        if (isOtherWrite && isInStore(record) && isOfEarlierEra(known))
            doubtful_.insert_or_assign(record.key, record);
        return false;
    }
    put(record);
    if (isOtherWrite && isInStore(known) && isOfEarlierEra(record))
        doubtful_.insert_or_assign(known.key, known);
    return differs || !(isOfEarlierEra(known) || isOfEarlierEra(record));
}

void RecordMirror::put(const StoreRecord &record)
{
    auto &known = records_[record.key];
    const bool wasTombstone = known.revision > 0 && !known.value;
    tombstoneCount_ += (record.value ? 0 : 1) - (wasTombstone ? 1 : 0);
    known = record;
    if (record.era == position_.era)
        doubtful_.erase(record.key);
}

std::vector<StoreRecord> RecordMirror::changesToReconcile() const
{
    std::vector<StoreRecord> changes;
    for (const auto &key : missing_) {
        const auto record = records_.find(key);
        if (record != records_.end() && record->second.value && isOfEarlierEra(record->second))
            changes.push_back({key, position_.revision, std::nullopt, position_.era, true});
    }
    for (const auto &[key, item] : doubtful_) {
        const auto known = records_.find(key);
        if (known != records_.end() && known->second.value
            && order_.isEarlierWriteOfSameWriter(item, known->second))
            continue;
        changes.push_back(item);
        changes.back().isConfirmed = true;
    }
    return changes;
}

std::vector<StoreRecord> RecordMirror::reconcile()
{
    if (reconciled_)
        return {};
    std::vector<StoreRecord> applied;
    for (const auto &change : changesToReconcile()) {
        if (records_[change.key].value != change.value)
            applied.push_back(change);
        put(change);
    }
    for (auto &[key, record] : records_) {
        if (!record.value)
            continue;
        record.isConfirmed = true;
        if (!isOfEarlierEra(record))
            continue;
        record.era = position_.era;
        // Later writes must have a higher revision.
        record.revision = std::min(record.revision, position_.revision);
    }
    reconciled_ = true;
    doubtful_.clear();
    missing_.clear();
    return applied;
}

RecordDelta RecordMirror::deltaSince(const StorePosition &position) const
{
    if (position.era != position_.era || position.revision < tombstonesCompleteSince_)
        return {recordsForSnapshot(), position_, true, reconciled_};
    RecordDelta delta{{}, position_, false, reconciled_};
    for (const auto &[key, record] : records_) {
        const bool isNew = record.era == position_.era && record.revision > position.revision;
        if (isNew || (!reconciled_ && isUnknownToStore(record)))
            delta.records.push_back(record);
    }
    return delta;
}

/// @return the live records, and before the copy is reconciled also what it knows of deletions.
std::vector<StoreRecord> RecordMirror::recordsForSnapshot() const
{
    if (reconciled_)
        return records();
    std::vector<StoreRecord> all;
    for (const auto &[key, record] : records_) {
        all.push_back(record);
        const bool isStored = !missing_.contains(key) && !doubtful_.contains(key);
        if (record.value && isOfEarlierEra(record) && isStored)
            all.back().era = position_.era;
        all.back().isConfirmed = all.back().isConfirmed && all.back().era == record.era;
    }
    for (const auto &[key, item] : doubtful_)
        all.push_back(item);
    return all;
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

void RecordMirror::dropOldTombstones()
{
    if (tombstoneCount_ <= MaxTombstones)
        return;
    std::vector<StorePosition> positions;
    for (const auto &[key, record] : records_) {
        if (!record.value)
            positions.push_back({record.era, record.revision});
    }
    const auto middle = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() / 2);
    std::nth_element(positions.begin(), middle, positions.end());
    const auto oldest = *middle;
    if (oldest.era == position_.era)
        tombstonesCompleteSince_ = std::max(tombstonesCompleteSince_, oldest.revision);
    tombstoneCount_ -= std::erase_if(records_, [&oldest](const auto &entry) {
        const auto &record = entry.second;
        return !record.value && StorePosition{record.era, record.revision} < oldest;
    });
}

} // namespace persimmon::state
