#pragma once

#include "state/state.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::state::test {

/// Reference model of the platform's store: a history of writes with one revision each. After a
/// restore it assigns the revisions of the lost writes again, in the next era.
class ModelStore
{
public:
    void write(const std::string &key, std::optional<std::string> value)
    {
        history_.push_back({key, ++position_.revision, std::move(value), position_.era});
    }

    /// Loses all writes after @p revision.
    void restore(std::uint64_t revision)
    {
        std::erase_if(history_,
                      [revision](const auto &record) { return record.revision > revision; });
        position_ = {position_.era + 1, revision};
    }

    /// @return the changes with the eras in which they were written.
    std::vector<StoreRecord> changesAfter(std::uint64_t revision) const
    {
        std::vector<StoreRecord> changes;
        for (const auto &record : history_) {
            if (record.revision > revision)
                changes.push_back(record);
        }
        return changes;
    }

    std::map<std::string, StoreRecord> items() const
    {
        std::map<std::string, StoreRecord> items;
        for (const auto &record : history_) {
            if (record.value)
                items[record.key] = record;
            else
                items.erase(record.key);
        }
        for (auto &[key, record] : items)
            record.era = position_.era;
        return items;
    }

    /// @return the values of the existing keys.
    std::map<std::string, std::string> values() const
    {
        std::map<std::string, std::string> values;
        for (const auto &[key, record] : items())
            values[key] = *record.value;
        return values;
    }

    const StorePosition &position() const { return position_; }

    /// @return whether @p record was overwritten or deleted at or before @p revision.
    bool isEnded(const StoreRecord &record, std::uint64_t revision) const
    {
        return std::any_of(history_.begin(), history_.end(), [&](const auto &later) {
            return later.key == record.key && later.revision > record.revision
                   && later.revision <= revision;
        });
    }

private:
    std::vector<StoreRecord> history_;
    StorePosition position_{1, 0};
};

inline std::map<std::string, std::string> valuesOf(const RecordMirror &mirror)
{
    std::map<std::string, std::string> values;
    for (const auto &record : mirror.records())
        values[record.key] = *record.value;
    return values;
}

} // namespace persimmon::state::test
