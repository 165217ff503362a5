#pragma once

#include <chrono>
#include <map>
#include <vector>

namespace persimmon::state {

/// Key-value table that is replicated by gossip. Each message contains the recently changed entries
/// and a few of the others in rotation, so that its size does not grow with the number of hosts.
template <typename Key, typename Value>
class GossipTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Time for which each message contains a changed entry; at two exchanges per second it reaches
    /// all hosts well within it.
    static constexpr std::chrono::seconds PropagationTime{10};
    /// Number of unchanged entries in each message. They bring hosts up to date after a partition.
    static constexpr std::size_t RotatingEntries = 2;

    /// @return the value of @p key, or null.
    const Value *find(const Key &key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? nullptr : &found->second.value;
    }

    /// Inserts or replaces an entry.
    /// @param propagationTime time for which each message contains the entry.
    void put(const Key &key, Value value, TimePoint now,
             TimePoint::duration propagationTime = PropagationTime)
    {
        entries_[key] = {std::move(value), now + propagationTime};
    }

    /// Removes the entries for which @p predicate(value) holds.
    /// @return whether any entry was removed.
    template <typename Predicate>
    bool eraseIf(Predicate predicate)
    {
        return std::erase_if(entries_,
                             [&](const auto &entry) { return predicate(entry.second.value); })
               > 0;
    }

    /// Selects the contents of the next message.
    /// @param all whether the receiver is starting and needs every entry.
    /// @return the values for the next message.
    std::vector<Value> select(TimePoint now, bool all)
    {
        std::vector<Value> selected;
        for (const auto &[key, entry] : entries_) {
            if (all || now < entry.propagateUntil)
                selected.push_back(entry.value);
        }
        if (all)
            return selected;
        for (std::size_t i = 0; i < RotatingEntries && i < entries_.size(); ++i) {
            auto next = entries_.upper_bound(cursor_);
            if (next == entries_.end())
                next = entries_.begin();
            cursor_ = next->first;
            if (now >= next->second.propagateUntil)
                selected.push_back(next->second.value);
        }
        return selected;
    }

    /// Calls @p visit with each value.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &[key, entry] : entries_)
            visit(entry.value);
    }

private:
    struct Entry
    {
        Value value;
        TimePoint propagateUntil;
    };

    std::map<Key, Entry> entries_;
    Key cursor_{};
};

} // namespace persimmon::state
