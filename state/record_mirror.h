#pragma once

#include "state/record_order.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// Local copy of the platform's store, updated from the store and from the copies of peers. For
/// each key the record that RecordOrder prefers wins, so that late, repeated and reordered changes
/// are harmless.
///
/// After a restore of the store, the copy stays unreconciled until reconcile() is called. Until
/// then, records that the store lacks are kept, and records are not taken from the store if they
/// may come from before the restore and this copy knows of a later write: the writers are expected
/// to write what was lost again.
class RecordMirror
{
public:
    /// Deleted keys that are kept as tombstones, so that older writes to them are not applied.
    static constexpr std::size_t MaxTombstones = 4096;

    /// @param contentVersionOf orders the values of a key across eras of the store.
    explicit RecordMirror(ContentVersionOf contentVersionOf = [](const StoreRecord & /*record*/) {
        return std::optional<ContentVersion>();
    });

    /// Applies changes that are complete from the position of this copy up to @p asOf. Changes of
    /// another era are ignored, except by an empty copy.
    /// @return the changes that were applied.
    std::vector<StoreRecord> apply(const std::vector<StoreRecord> &changes,
                                   const StorePosition &asOf);

    /// Applies the result of a range read. Its pages are not read atomically: a key that they lack
    /// is deleted only if it was last written at or before @p asOf.
    /// @param asOf the store's position before the first page was read. A read that is older than
    ///        this copy is ignored.
    /// @return the changes that were applied.
    std::vector<StoreRecord> applySnapshot(const std::vector<StoreRecord> &items,
                                           const StorePosition &asOf);

    /// Applies the records that a peer's copy has beyond this one.
    /// @return the changes that were applied.
    std::vector<StoreRecord> apply(const RecordDelta &delta);

    /// Adopts the state of the store in place of what it has lost since an earlier era and what was
    /// not written again.
    /// @return the changes that were applied.
    std::vector<StoreRecord> reconcile();

    /// @return whether this copy was reconciled with the current era.
    bool isReconciled() const { return reconciled_; }

    /// @return the records that a copy complete up to @p position lacks; all records if the copy is
    ///         of another era or deletions since then may be unknown, as a range read does not show
    ///         keys that were created and deleted in between.
    RecordDelta deltaSince(const StorePosition &position) const;

    /// @return all records that are not deleted.
    std::vector<StoreRecord> records() const;

    /// @return the position up to which this copy is complete; zero before the first read.
    const StorePosition &position() const { return position_; }

    std::size_t size() const { return records_.size(); }

private:
    void beginEra(const StorePosition &position);
    std::vector<StoreRecord> applyAll(const std::vector<StoreRecord> &changes,
                                      const StorePosition &asOf);
    bool applyOne(const StoreRecord &record);
    std::vector<StoreRecord> applyChanges(const std::vector<StoreRecord> &changes,
                                          const StorePosition &asOf);
    /// Applies records of which those in the store are complete as of @p asOf.
    std::vector<StoreRecord> applyComplete(std::vector<StoreRecord> changes,
                                           const StorePosition &asOf);
    std::vector<StoreRecord> withDeletedWrites(const std::vector<StoreRecord> &changes) const;
    /// Applies records of earlier eras that a peer knows better than the restored store.
    std::vector<StoreRecord> applyEarlierEra(const std::vector<StoreRecord> &records);
    /// @return whether the record is of an earlier era and not what the store holds.
    bool isUnknownToStore(const StoreRecord &record) const;
    bool isOfEarlierEra(const StoreRecord &record) const;
    bool isInStore(const StoreRecord &record) const;
    /// @return tombstones of the records that were in the store and are not in @p stored.
    std::vector<StoreRecord> deletionsExcept(const std::set<std::string> &stored,
                                             const StorePosition &asOf) const;
    std::vector<StoreRecord> applyPeerSnapshot(const RecordDelta &delta);
    std::vector<StoreRecord> changesToReconcile() const;
    std::vector<StoreRecord> recordsForSnapshot() const;
    void put(const StoreRecord &record);
    void dropOldTombstones();

    RecordOrder order_;
    std::map<std::string, StoreRecord> records_;
    std::size_t tombstoneCount_ = 0;
    StorePosition position_;
    bool reconciled_ = true;
    /// Revision at which this copy first read the current era. Later ones were assigned in it.
    std::uint64_t eraStart_ = 0;
    /// Live records of earlier eras that the store does not hold.
    std::set<std::string> missing_;
    /// Records of the store that may be older than what this copy knows.
    std::map<std::string, StoreRecord> doubtful_;
    /// The tombstones of all deletions after this revision of the current era are known.
    std::uint64_t tombstonesCompleteSince_ = 0;
};

} // namespace persimmon::state
