#pragma once

#include "state/latency_record.h"

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

    /// @return the records, deleted ones included, changed after @p revision.
    std::vector<StoreRecord> changesSince(std::uint64_t revision) const;

    /// @return the revision up to which this copy is complete; 0 before the first read.
    std::uint64_t revision() const { return revision_; }

    std::size_t size() const { return records_.size(); }

private:
    bool take(const StoreRecord &record);
    void forgetOldDeletions();

    std::map<std::string, StoreRecord> records_;
    std::size_t deletedCount_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace persimmon::state
