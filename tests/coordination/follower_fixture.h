#pragma once

#include "coordination/coordination.h"

#include <algorithm>
#include <map>

namespace persimmon::coordination::test {

using state::StorePosition;
using state::StoreRecord;

inline constexpr std::chrono::milliseconds ReconcileTime{4500};
/// Step in which the clock is advanced.
inline constexpr std::chrono::milliseconds Step{10};

/// A follower whose store and peer are functions of the test. The clock is paused, and all is done
/// on one thread.
class FollowerFixture
{
public:
    FollowerFixture()
        : follower_(runtime_, storeHooks(), peerHooks(), options(), [this](const auto &changes) {
              for (const auto &change : changes) {
                  if (change.value)
                      shown[change.key] = *change.value;
                  else
                      shown.erase(change.key);
              }
          })
    {
        runtime_.clock().pause();
        follower_.start();
    }

    /// Writes to the store.
    void write(const std::string &key, std::optional<std::string> value)
    {
        position.revision += 1;
        std::erase_if(items, [&key](const auto &item) { return item.key == key; });
        const StoreRecord record{key, position.revision, std::move(value)};
        if (record.value)
            items.push_back(record);
        changes.push_back(record);
    }

    /// Replaces the contents of the store.
    void restore(std::uint64_t revision, std::vector<StoreRecord> contents)
    {
        position = {position.era + 1, revision};
        items = std::move(contents);
        changes.clear();
        historyStart = revision;
    }

    void advance(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds elapsed{0}; elapsed < time; elapsed += Step) {
            poll();
            runtime_.clock().advance(Step);
        }
        poll();
    }

    RecordFollower &follower() { return follower_; }
    const state::RecordMirror &mirror() const { return follower_.mirror(); }

    StorePosition position{1, 0};
    std::vector<StoreRecord> items;
    std::vector<StoreRecord> changes;
    std::uint64_t historyStart = 0;
    bool isAway = false;
    /// Called after a page was read and before it is returned.
    std::function<void()> onPage;
    /// Called before a watch is answered.
    std::function<void()> onWatch;
    std::size_t pageSize = 100;
    state::StoreSource source{true, ""};
    std::function<Result<state::RecordDelta, StoreFailure>(StorePosition after)> peer;
    /// Time after which the peer answers without changes.
    std::chrono::milliseconds peerWait{3500};
    /// Whether watches on the peer fail after peerWait.
    bool isPeerSilent = false;
    /// Calls of PeerHooks::onSilentPeer.
    int silentPeers = 0;
    int reads = 0;
    int watches = 0;
    int gone = 0;
    /// Calls of PeerHooks::onStoreReturn.
    int returns = 0;
    std::map<std::string, std::string> shown;

private:
    static RecordFollowerOptions options()
    {
        RecordFollowerOptions result;
        result.reconcileTime = ReconcileTime;
        result.contentVersionOf = [](const StoreRecord &record) {
            std::optional<state::ContentVersion> version;
            if (record.value && record.key == "config")
                version = {0, std::stoull(*record.value)};
            return version;
        };
        return result;
    }

    void poll() { runtime_.context().poll(); }

    StoreHooks storeHooks()
    {
        return {[this](std::string after) { return readPage(std::move(after)); },
                [this](std::uint64_t after, std::chrono::milliseconds wait) {
                    return watch(after, wait);
                },
                [this] { ++resets_; }};
    }

    PeerHooks peerHooks()
    {
        return {[this] { return source; },
                [this](std::string, StorePosition after) { return watchPeer(after); },
                [] {},
                [this](const std::string & /*peer*/) {
                    ++silentPeers;
                    source = {true, ""};
                },
                [] {},
                [this] { ++returns; }};
    }

    boost::asio::awaitable<Result<StorePage, StoreFailure>> readPage(std::string after)
    {
        ++reads;
        if (isAway)
            co_return StoreFailure::Unavailable;
        std::sort(items.begin(), items.end(),
                  [](const auto &a, const auto &b) { return a.key < b.key; });
        StorePage page;
        page.asOf = position;
        for (const auto &item : items) {
            if (item.key <= after)
                continue;
            page.hasMore = page.items.size() == pageSize;
            if (page.hasMore)
                break;
            page.items.push_back(item);
        }
        if (onPage)
            onPage();
        co_return page;
    }

    boost::asio::awaitable<Result<StoreChanges, StoreFailure>> watch(std::uint64_t after,
                                                                     std::chrono::milliseconds wait)
    {
        ++watches;
        const auto until = runtime_.clock().now() + wait;
        const auto resets = resets_;
        const auto era = position.era;
        while (true) {
            // A connection ends with the store that served it.
            if (isAway || resets != resets_ || era != position.era)
                co_return StoreFailure::Unavailable;
            if (after > position.revision || after < historyStart) {
                ++gone;
                co_return StoreFailure::HistoryGone;
            }
            if (after < position.revision || runtime_.clock().now() >= until)
                break;
            co_await runtime_.clock().sleep(Step);
        }
        StoreChanges result{{}, position};
        for (const auto &change : changes) {
            if (change.revision > after)
                result.records.push_back(change);
        }
        if (onWatch)
            onWatch();
        co_return result;
    }

    boost::asio::awaitable<Result<state::RecordDelta, StoreFailure>> watchPeer(StorePosition after)
    {
        const auto until = runtime_.clock().now() + peerWait;
        while (runtime_.clock().now() < until) {
            auto result = peer(after);
            if (!isOk(result) || valueOf(result).asOf > after)
                co_return result;
            co_await runtime_.clock().sleep(Step);
        }
        if (isPeerSilent)
            co_return StoreFailure::Unavailable;
        co_return state::RecordDelta{};
    }

    std::size_t resets_ = 0;
    transport::Runtime runtime_{1};
    RecordFollower follower_;
};

} // namespace persimmon::coordination::test
