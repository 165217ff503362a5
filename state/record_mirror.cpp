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
    std::vector<StoreRecord> current;
    // Changes up to the revision of this copy are late or duplicate deliveries. A key that the copy
    // lacks was deleted and must not be restored by them.
    std::copy_if(
            changes.begin(), changes.end(), std::back_inserter(current),
            [this](const StoreRecord &change) { return change.revision > position_.revision; });
    for (auto &change : current)
        change.era = asOf.era;
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
    doubtful_.clear();
    std::vector<StoreRecord> changes;
    for (auto item : items) {
        if (confirmEra(item))
            changes.push_back(std::move(item));
        else if (records_.at(item.key).value != item.value)
            doubtful_.insert_or_assign(item.key, item);
    }
    const auto deletions = deletionsOfMissing(items, asOf);
    changes.insert(changes.end(), deletions.begin(), deletions.end());
    tombstonesCompleteSince_ = std::max(tombstonesCompleteSince_, asOf.revision);
    return applyAll(changes, asOf);
}

void RecordMirror::beginEra(const StorePosition &position)
{
    // What was read in the previous era is part of it from now on.
    for (auto &[key, record] : records_) {
        if (record.era == UnconfirmedEra)
            record.era = position_.era;
    }
    position_ = position;
    eraStart_ = position.revision;
    tombstonesCompleteSince_ = position.revision;
    reconciled_ = false;
    doubtful_.clear();
    missing_.clear();
}

bool RecordMirror::isOfEarlierEra(const StoreRecord &record) const
{
    return record.era != UnconfirmedEra && record.era < position_.era;
}

bool RecordMirror::confirmEra(StoreRecord &item) const
{
    item.era = position_.era;
    if (reconciled_ || item.revision > eraStart_)
        return true;
    const auto known = records_.find(item.key);
    if (known != records_.end() && isOfEarlierEra(known->second))
        return order_.isWrittenAfter(item, known->second);
    item.era = UnconfirmedEra;
    return true;
}

std::vector<StoreRecord> RecordMirror::deletionsOfMissing(const std::vector<StoreRecord> &items,
                                                          const StorePosition &asOf)
{
    std::set<std::string_view> live;
    for (const auto &item : items) {
        if (item.value)
            live.insert(item.key);
    }
    missing_.clear();
    std::vector<StoreRecord> deletions;
    for (const auto &[key, record] : records_) {
        if (!record.value || live.contains(key))
            continue;
        if (!reconciled_ && isOfEarlierEra(record))
            missing_.insert(key);
        else if (isOfEarlierEra(record) || record.revision <= asOf.revision)
            deletions.push_back(order_.makeTombstone(record, asOf));
    }
    return deletions;
}

std::vector<StoreRecord> RecordMirror::apply(const RecordDelta &delta)
{
    return delta.isSnapshot ? applyPeerSnapshot(delta) : apply(delta.records, delta.asOf);
}

std::vector<StoreRecord> RecordMirror::applyPeerSnapshot(const RecordDelta &delta)
{
    if (delta.asOf < position_)
        return {};
    if (delta.asOf.era != position_.era)
        beginEra(delta.asOf);
    auto changes = delta.records;
    const auto deletions = deletionsOfMissing(delta.records, delta.asOf);
    changes.insert(changes.end(), deletions.begin(), deletions.end());
    tombstonesCompleteSince_ = std::max(tombstonesCompleteSince_, delta.asOf.revision);
    auto applied = applyAll(changes, delta.asOf);
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
    auto &known = found->second;
    const bool isDoubtful = record.era == UnconfirmedEra && record.value && !known.value;
    if (!order_.replaces(record, known, position_.era)) {
        if (isDoubtful && isOfEarlierEra(known))
            doubtful_.insert_or_assign(record.key, record);
        return false;
    }
    if (known.era == UnconfirmedEra && known.value && !record.value && isOfEarlierEra(record))
        doubtful_.insert_or_assign(known.key, known);
    const bool isNews = !isOfEarlierEra(known) || known.value != record.value;
    put(record);
    return isNews;
}

void RecordMirror::put(const StoreRecord &record)
{
    auto &known = records_[record.key];
    const bool wasTombstone = known.revision > 0 && !known.value;
    tombstoneCount_ += (record.value ? 0 : 1) - (wasTombstone ? 1 : 0);
    if (record.value || record.deletedWrite || known.revision == 0)
        known = record;
    else
        known = order_.makeTombstone(known, {record.era, record.revision});
    if (record.era == position_.era)
        doubtful_.erase(record.key);
}

std::vector<StoreRecord> RecordMirror::changesToReconcile() const
{
    std::vector<StoreRecord> changes;
    for (const auto &key : missing_) {
        const auto record = records_.find(key);
        if (record != records_.end() && record->second.value && isOfEarlierEra(record->second))
            changes.push_back(order_.makeTombstone(record->second, position_));
    }
    for (const auto &[key, item] : doubtful_) {
        const auto known = records_.find(key);
        if (known != records_.end() && known->second.value
            && order_.isEarlierWriteOfSameWriter(item, known->second))
            continue;
        changes.push_back(item);
        changes.back().era = position_.era;
    }
    return changes;
}

std::vector<StoreRecord> RecordMirror::reconcile()
{
    if (reconciled_)
        return {};
    const auto changes = changesToReconcile();
    for (const auto &change : changes)
        put(change);
    for (auto &[key, record] : records_) {
        if (!record.value)
            continue;
        record.era = position_.era;
        // The revision may be from an earlier era; later writes must have a higher one.
        record.revision = std::min(record.revision, position_.revision);
    }
    reconciled_ = true;
    doubtful_.clear();
    missing_.clear();
    return changes;
}

RecordDelta RecordMirror::deltaSince(const StorePosition &position) const
{
    if (position.era != position_.era)
        return {recordsForOtherEra(), position_, true, reconciled_};
    if (position.revision < tombstonesCompleteSince_)
        return {records(), position_, true, reconciled_};
    RecordDelta delta{{}, position_, false, reconciled_};
    for (const auto &[key, record] : records_) {
        if (record.era == position_.era && record.revision > position.revision)
            delta.records.push_back(record);
    }
    return delta;
}

/// @return the live records, and before the copy is reconciled also what it knows of deletions.
std::vector<StoreRecord> RecordMirror::recordsForOtherEra() const
{
    if (reconciled_)
        return records();
    std::vector<StoreRecord> all;
    for (const auto &[key, record] : records_)
        all.push_back(record);
    for (const auto &[key, item] : doubtful_) {
        all.push_back(item);
        all.back().era = UnconfirmedEra;
    }
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
