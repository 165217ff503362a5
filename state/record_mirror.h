#pragma once

#include "state/decaying_latency_histogram.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

/// A key of the platform's store as it was last written.
struct StoreRecord
{
    std::string key;
    /// The store's revision of the last change.
    std::uint64_t revision = 0;
    /// Nothing means that the key was deleted.
    std::optional<std::string> value;

    bool operator==(const StoreRecord &) const = default;
};

/// What one copy of the store lacks of another.
struct RecordDelta
{
    std::vector<StoreRecord> records;
    /// Revision up to which the records are complete.
    std::uint64_t asOf = 0;
    /// Whether the records are all that exist, and not only what changed.
    bool isSnapshot = false;

    bool operator==(const RecordDelta &) const = default;
};

/// Copy of the platform's store, from its own answers and from those of peers. For each key the
/// highest revision wins, so that late, repeated and reordered changes do no harm.
class RecordMirror
{
public:
    /// Deleted keys that are remembered, so that an older write of them is not taken.
    static constexpr std::size_t DeletedCapacity = 4096;

    /// Takes changes that are complete from the revision of this copy up to @p asOf.
    /// @return the changes that were news.
    std::vector<StoreRecord> apply(const std::vector<StoreRecord> &changes, std::uint64_t asOf);

    /// Takes the result of a range read. Its pages are no snapshot: what they lack is deleted only
    /// if it was last written at or before @p asOf.
    /// @param asOf the store's revision before the first page was read.
    /// @return the changes that were news.
    std::vector<StoreRecord> applySnapshot(const std::vector<StoreRecord> &items,
                                           std::uint64_t asOf);

    /// Takes what a peer's copy has beyond this one.
    /// @return the changes that were news.
    std::vector<StoreRecord> apply(const RecordDelta &delta);

    /// @return what a copy that is complete up to @p revision lacks. All records, if deletions
    /// since
    ///         then may be unknown here: a range read does not tell of keys that came and went.
    RecordDelta deltaSince(std::uint64_t revision) const;

    /// @return the records that exist.
    std::vector<StoreRecord> records() const;

    /// @return the revision up to which this copy is complete; 0 before the first read.
    std::uint64_t revision() const { return revision_; }

    std::size_t size() const { return records_.size(); }

private:
    std::vector<StoreRecord> takeAll(const std::vector<StoreRecord> &changes, std::uint64_t asOf);
    bool take(const StoreRecord &record);
    void forgetOldDeletions();

    std::map<std::string, StoreRecord> records_;
    std::size_t deletedCount_ = 0;
    std::uint64_t revision_ = 0;
    /// All deletions after this revision are known.
    std::uint64_t deletionsKnownSince_ = 0;
};

} // namespace persimmon::state
