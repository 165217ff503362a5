#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace persimmon;
using namespace persimmon::state;

namespace {

/// Reference model of the store: a history of writes with one revision each.
class ModelStore
{
public:
    void write(const std::string &key, std::optional<std::string> value)
    {
        history_.push_back({key, ++revision_, std::move(value)});
    }

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
        return items;
    }

    std::uint64_t revision() const { return revision_; }

private:
    std::vector<StoreRecord> history_;
    std::uint64_t revision_ = 0;
};

std::map<std::string, std::string> valuesOf(const RecordMirror &mirror)
{
    std::map<std::string, std::string> values;
    for (const auto &record : mirror.records())
        values[record.key] = *record.value;
    return values;
}

} // namespace

TEST_CASE("mirrors updated by the store and by each other converge to the contents of the store")
{
    // Guards against lost deletions, reverted writes, and records that are restored by a late or
    // repeated change. Watches, non-atomic range reads and relays run in random order.
    std::mt19937 random(5);
    for (int schedule = 0; schedule < 10'000; ++schedule) {
        ModelStore store;
        std::array<RecordMirror, 3> mirrors;
        std::vector<std::vector<StoreRecord>> old;
        for (int step = 0; step < 40; ++step) {
            auto &mirror = mirrors.at(random() % mirrors.size());
            const auto key = std::string(1, static_cast<char>('a' + random() % 6));
            switch (random() % 5) {
            case 0:
            case 1:
                store.write(key,
                            random() % 3 == 0 ? std::nullopt : std::optional(std::to_string(step)));
                break;
            case 2:
                old.push_back(store.changesAfter(mirror.revision()));
                mirror.apply(old.back(), store.revision());
                break;
            case 3: {
                // The first half of the keys is read before a write, the second half after it.
                const auto asOf = store.revision();
                std::vector<StoreRecord> items;
                for (const auto &[name, record] : store.items()) {
                    if (name < "d")
                        items.push_back(record);
                }
                store.write(key,
                            random() % 2 == 0 ? std::nullopt : std::optional<std::string>("x"));
                for (const auto &[name, record] : store.items()) {
                    if (name >= "d")
                        items.push_back(record);
                }
                if (asOf > 0)
                    mirror.applySnapshot(items, asOf);
                break;
            }
            default: {
                const auto &peer = mirrors.at(random() % mirrors.size());
                if (peer.revision() > mirror.revision())
                    mirror.apply(peer.deltaSince(mirror.revision()));
                // Delivers earlier changes again.
                if (!old.empty())
                    mirror.apply(old[random() % old.size()], 0);
            }
            }
        }
        std::map<std::string, std::string> expected;
        for (const auto &[name, record] : store.items())
            expected[name] = *record.value;
        for (auto &mirror : mirrors) {
            mirror.apply(store.changesAfter(mirror.revision()), store.revision());
            CHECK(valuesOf(mirror) == expected);
        }
    }
}

TEST_CASE("changes that are already known are not reported again")
{
    // Guards against schedulers that are reconfigured by each repeated record.
    RecordMirror mirror;
    CHECK(mirror.apply({{"a", 3, "1"}}, 3).size() == 1);
    CHECK(mirror.apply({{"a", 3, "1"}}, 3).empty());
    CHECK(mirror.apply({{"a", 2, "0"}}, 3).empty());
    CHECK(mirror.applySnapshot({{"a", 3, "1"}}, 4).empty());
    CHECK(mirror.applySnapshot({}, 5).size() == 1);
    CHECK(mirror.revision() == 5);
}
