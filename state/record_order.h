#pragma once

#include "state/store_record.h"

namespace persimmon::state {

/// Orders the records of one key, also across eras of the store.
class RecordOrder
{
public:
    explicit RecordOrder(ContentVersionOf contentVersionOf)
        : contentVersionOf_(std::move(contentVersionOf))
    {
    }

    /// @return whether @p candidate takes the place of @p known in a copy that holds both.
    ///         Revisions decide within an era. Across eras the later one wins, except if its record
    ///         may come from the copy from which the store was restored.
    bool replaces(const StoreRecord &candidate, const StoreRecord &known) const;

    /// @return whether the values of two live records are from one writer that wrote @p candidate
    ///         before @p known.
    bool isEarlierWriteOfSameWriter(const StoreRecord &candidate, const StoreRecord &known) const;

    /// @return a tombstone that remembers the last write of @p record.
    StoreRecord makeTombstone(const StoreRecord &record, const StorePosition &deletedAt) const;

private:
    /// @return whether more than revisions of different eras is known of the order of two records.
    bool isOrdered(const StoreRecord &earlier, const StoreRecord &read) const;
    bool replacesEarlierEra(const StoreRecord &candidate, const StoreRecord &known) const;
    /// @param read live record that was read in an era that follows that of @p known.
    /// @return whether @p read was certainly written after @p known.
    bool isWrittenAfter(const StoreRecord &read, const StoreRecord &known) const;
    bool isWrittenAfterDeletion(const StoreRecord &read, const StoreRecord &tombstone) const;

    ContentVersionOf contentVersionOf_;
};

} // namespace persimmon::state
