#pragma once

#include <chrono>
#include <map>
#include <vector>

namespace persimmon::state {

/// Rows that spread by exchange. Each message carries the rows that changed a short time ago and a
/// few of the others in turn, so that its size does not grow with the fleet.
template <typename Key, typename Value>
class GossipTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A changed row is part of each message for this long; with two exchanges a second it reaches
    /// all hosts long before.
    static constexpr std::chrono::seconds RumorTime{10};
    /// Unchanged rows in each message; they repair what a partition prevented.
    static constexpr std::size_t RotatingRows = 2;

    const Value *find(const Key &key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? nullptr : &found->second.value;
    }

    /// @param rumorTime time during which each message carries the row.
    void put(const Key &key, Value value, TimePoint now, TimePoint::duration rumorTime = RumorTime)
    {
        rows_[key] = {std::move(value), now + rumorTime};
    }

    /// Removes the rows for which @p predicate(value) holds.
    /// @return whether there were any.
    template <typename Predicate>
    bool eraseIf(Predicate predicate)
    {
        return std::erase_if(rows_, [&](const auto &row) { return predicate(row.second.value); })
               > 0;
    }

    /// @param all whether the receiver starts and needs every row.
    /// @return the values for the next message.
    std::vector<Value> select(TimePoint now, bool all)
    {
        std::vector<Value> selected;
        for (const auto &[key, row] : rows_) {
            if (all || now < row.rumorUntil)
                selected.push_back(row.value);
        }
        if (all)
            return selected;
        for (std::size_t i = 0; i < RotatingRows && i < rows_.size(); ++i) {
            auto next = rows_.upper_bound(cursor_);
            if (next == rows_.end())
                next = rows_.begin();
            cursor_ = next->first;
            if (now >= next->second.rumorUntil)
                selected.push_back(next->second.value);
        }
        return selected;
    }

    /// Calls @p visit with each value.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[key, row] : rows_)
            visit(row.value);
    }

private:
    struct Row
    {
        Value value;
        TimePoint rumorUntil;
    };

    std::map<Key, Row> rows_;
    Key cursor_{};
};

} // namespace persimmon::state
