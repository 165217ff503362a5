#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

/// Last write to a key of the platform's store.
struct StoreRecord
{
    std::string key;
    /// Revision of the store at which the key was last changed.
    std::uint64_t revision = 0;
    /// Empty if the key was deleted.
    std::optional<std::string> value;

    bool operator==(const StoreRecord &) const = default;
};

/// Records that bring one copy of the store up to date with another.
struct RecordDelta
{
    std::vector<StoreRecord> records;
    /// Revision up to which the records are complete.
    std::uint64_t asOf = 0;
    /// Whether the records are all existing ones and not only the changed ones.
    bool isSnapshot = false;

    bool operator==(const RecordDelta &) const = default;
};

/// Local copy of the platform's store, updated from the store and from the copies of peers. For
/// each key the highest revision wins, so that late, repeated and reordered changes are harmless.
class RecordMirror
{
public:
    /// Deleted keys that are kept as tombstones, so that older writes to them are not applied.
    static constexpr std::size_t MaxTombstones = 4096;

    /// Applies changes that are complete from the revision of this copy up to @p asOf.
    /// @return the changes that were applied.
    std::vector<StoreRecord> apply(const std::vector<StoreRecord> &changes, std::uint64_t asOf);

    /// Applies the result of a range read. Its pages are not read atomically: a key that they lack
    /// is deleted only if it was last written at or before @p asOf.
    /// @param asOf the store's revision before the first page was read.
    /// @return the changes that were applied.
    std::vector<StoreRecord> applySnapshot(const std::vector<StoreRecord> &items,
                                           std::uint64_t asOf);

    /// Applies the records that a peer's copy has beyond this one.
    /// @return the changes that were applied.
    std::vector<StoreRecord> apply(const RecordDelta &delta);

    /// @return the records that a copy complete up to @p revision lacks; all records if deletions
    ///         since then may be unknown, as a range read does not show keys that were created
    ///         and deleted in between.
    RecordDelta deltaSince(std::uint64_t revision) const;

    /// @return all records that are not deleted.
    std::vector<StoreRecord> records() const;

    /// @return the revision up to which this copy is complete; 0 before the first read.
    std::uint64_t revision() const { return revision_; }

    std::size_t size() const { return records_.size(); }

private:
    std::vector<StoreRecord> applyAll(const std::vector<StoreRecord> &changes, std::uint64_t asOf);
    bool applyOne(const StoreRecord &record);
    void dropOldTombstones();

    std::map<std::string, StoreRecord> records_;
    std::size_t tombstoneCount_ = 0;
    std::uint64_t revision_ = 0;
    /// The tombstones of all deletions after this revision are known.
    std::uint64_t tombstonesCompleteSince_ = 0;
};

} // namespace persimmon::state
