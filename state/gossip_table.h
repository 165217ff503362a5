#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace persimmon::state {

/// Key-value table that is replicated by gossip. Each message contains some of the recently changed
/// entries, those first that were in the fewest messages, and a few of the others in rotation, so
/// that its size grows neither with the number of hosts nor with the number of changes.
template <typename Key, typename Value>
class GossipTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Time for which a changed entry is sent; at two exchanges per second it reaches all hosts
    /// well within it.
    static constexpr std::chrono::seconds PropagationTime{10};
    /// Default number of changed entries in each message.
    static constexpr std::size_t ChangedEntries = 64;
    /// Number of messages that contain a changed entry at least if other entries have taken its
    /// place during its propagation time.
    static constexpr std::size_t MinMessages = 4;
    /// Time for which an entry that did not fit into a message waits for the next one.
    static constexpr std::chrono::seconds WaitTime{3};
    /// Number of entries in the message to a host that is starting.
    static constexpr std::size_t EntriesForStart = 1024;
    /// Number of unchanged entries in each message. They bring hosts up to date after a partition.
    static constexpr std::size_t RotatingEntries = 2;

    /// @param changedEntries number of changed entries in each message.
    explicit GossipTable(std::size_t changedEntries = ChangedEntries)
        : changedEntries_(changedEntries)
    {
    }

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
        entries_[key] = {std::move(value), now + propagationTime, 0};
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
        for (auto *entry : leastSent(now, all)) {
            ++entry->messages;
            selected.push_back(entry->value);
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

    std::size_t size() const { return entries_.size(); }

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
        /// Number of messages that contained this value.
        std::size_t messages = 0;
    };

    /// Selects the changed entries for the next message, those that were in the fewest messages.
    std::vector<Entry *> leastSent(TimePoint now, bool all)
    {
        std::vector<Entry *> pending;
        for (auto &[key, entry] : entries_) {
            if (all || now < entry.propagateUntil)
                pending.push_back(&entry);
        }
        const auto count = std::min(pending.size(), all ? EntriesForStart : changedEntries_);
        std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count),
                          pending.end(), [](const auto *left, const auto *right) {
                              return left->messages < right->messages;
                          });
        for (auto waiting = pending.begin() + static_cast<std::ptrdiff_t>(count);
             waiting != pending.end(); ++waiting) {
            if ((*waiting)->messages < MinMessages)
                (*waiting)->propagateUntil = std::max((*waiting)->propagateUntil, now + WaitTime);
        }
        pending.resize(count);
        return pending;
    }

    std::size_t changedEntries_;
    std::map<Key, Entry> entries_;
    Key cursor_{};
};

} // namespace persimmon::state
