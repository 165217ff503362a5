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

    /// @param currentEra era of the copy. The revisions of its unconfirmed records belong to it.
    /// @return whether @p candidate takes the place of @p known in a copy that holds both.
    /// Revisions
    ///         decide within an era. Across eras the content versions decide if both records have
    ///         one, otherwise the later era.
    bool replaces(const StoreRecord &candidate, const StoreRecord &known,
                  std::uint64_t currentEra) const;

    /// @param read live record that was read from the store in an era that follows that of
    ///        @p known.
    /// @return whether @p read was certainly written after @p known. Otherwise it may come from the
    ///         copy from which the store was restored.
    bool isWrittenAfter(const StoreRecord &read, const StoreRecord &known) const;

    /// @return whether the values of two live records are from one writer that wrote @p candidate
    ///         before @p known.
    bool isEarlierWriteOfSameWriter(const StoreRecord &candidate, const StoreRecord &known) const;

    /// @return a tombstone that remembers the last write of @p record.
    StoreRecord makeTombstone(const StoreRecord &record, const StorePosition &deletedAt) const;

private:
    bool isWrittenAfterDeletion(const StoreRecord &read, const StoreRecord &tombstone) const;

    ContentVersionOf contentVersionOf_;
};

} // namespace persimmon::state
