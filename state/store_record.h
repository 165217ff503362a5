#pragma once

#include "protocol/history_position.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state {

/// Point in the history of the platform's store.
using StorePosition = protocol::HistoryPosition;

/// Version that the writer of a value has put into it. Unlike a revision, it does not depend on the
/// era of the store.
struct ContentVersion
{
    /// Start of the writer; values with different starts may have been written by different clocks.
    std::uint64_t writerStart = 0;
    /// Increases with each write of one writer.
    std::uint64_t sequence = 0;

    bool operator==(const ContentVersion &) const = default;

    std::strong_ordering operator<=>(const ContentVersion &other) const
    {
        if (writerStart != other.writerStart)
            return writerStart <=> other.writerStart;
        return sequence <=> other.sequence;
    }
};

/// The write that a deletion has removed.
struct DeletedWrite
{
    std::uint64_t revision = 0;
    std::uint64_t valueHash = 0;
    std::optional<ContentVersion> version;

    bool operator==(const DeletedWrite &) const = default;
};

/// Last write to a key of the platform's store.
struct StoreRecord
{
    std::string key;
    /// Revision of the store at which the key was last changed.
    std::uint64_t revision = 0;
    /// Empty if the key was deleted.
    std::optional<std::string> value;
    /// Era of the store in which the record was read.
    std::uint64_t era = 0;
    /// Whether the revision was assigned in that era. Otherwise it may be older than the restore
    /// that began the era.
    bool isConfirmed = false;
    /// For a deleted key, the last write before the deletion if it is known.
    std::optional<DeletedWrite> deletedWrite = {};

    bool operator==(const StoreRecord &) const = default;
};

/// Records that bring one copy of the platform's store up to date with another.
struct RecordDelta
{
    std::vector<StoreRecord> records;
    /// Position up to which the records are complete.
    StorePosition asOf;
    /// Whether the records are all existing ones and not only the changed ones.
    bool isSnapshot = false;
    /// Whether the sender's copy is reconciled with the era of the store.
    bool isReconciled = false;

    bool operator==(const RecordDelta &) const = default;
};

/// Returns the content version of a record; std::nullopt if the value contains none.
using ContentVersionOf = std::function<std::optional<ContentVersion>(const StoreRecord &)>;

} // namespace persimmon::state
