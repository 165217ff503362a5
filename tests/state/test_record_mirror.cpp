#include "tests/state/model_store.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using persimmon::state::test::ModelStore;
using persimmon::state::test::valuesOf;

namespace {

/// Era of a store that is never restored.
constexpr std::uint64_t Era = 1;

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
                old.push_back(store.changesAfter(mirror.position().revision));
                mirror.apply(old.back(), store.position());
                break;
            case 3: {
                // The first half of the keys is read before a write, the second half after it.
                const auto asOf = store.position();
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
                if (asOf.revision > 0)
                    mirror.applySnapshot(items, asOf);
                break;
            }
            default: {
                const auto &peer = mirrors.at(random() % mirrors.size());
                if (peer.position() > mirror.position())
                    mirror.apply(peer.deltaSince(mirror.position()));
                // Delivers earlier changes again.
                if (!old.empty())
                    mirror.apply(old[random() % old.size()], {Era, 0});
            }
            }
        }
        const auto expected = store.values();
        for (auto &mirror : mirrors) {
            mirror.apply(store.changesAfter(mirror.position().revision), store.position());
            CHECK(valuesOf(mirror) == expected);
        }
    }
}

// Guards against an upstream that has left, or a key that was withdrawn, which is in use again
// after a restart: a host starts empty from a peer that lags, from delayed replies and from range
// reads.
TEST_CASE("a mirror never holds a record that ended before the revision it has reached")
{
    struct Reply
    {
        RecordDelta delta;
        /// Revision of the mirror that asked; a reply reaches only copies that are at least as new.
        StorePosition after;
    };
    constexpr std::uint32_t Seed = 20261221;
    std::mt19937 random(Seed);
    for (int schedule = 0; schedule < 10'000; ++schedule) {
        ModelStore store;
        std::array<RecordMirror, 3> mirrors;
        std::vector<Reply> delayed;
        for (int step = 0; step < 40; ++step) {
            auto &mirror = mirrors.at(random() % mirrors.size());
            const auto key = std::string(1, static_cast<char>('a' + random() % 6));
            switch (random() % 6) {
            case 0:
            case 1:
                store.write(key,
                            random() % 2 == 0 ? std::nullopt : std::optional(std::to_string(step)));
                break;
            case 2:
                mirror.apply(store.changesAfter(mirror.position().revision), store.position());
                break;
            case 3: {
                RecordDelta read{{}, store.position(), true};
                for (const auto &[name, record] : store.items())
                    read.records.push_back(record);
                delayed.push_back({read, {}});
                break;
            }
            case 4:
                mirror = RecordMirror();
                break;
            default: {
                const auto &peer = mirrors.at(random() % mirrors.size());
                delayed.push_back({peer.deltaSince(mirror.position()), mirror.position()});
                const auto &reply = delayed[random() % delayed.size()];
                if (mirror.position() >= reply.after)
                    mirror.apply(reply.delta);
            }
            }
            for (const auto &record : mirror.records())
                REQUIRE_FALSE(store.isEnded(record, mirror.position().revision));
        }
    }
}

// Guards against a deleted record that an old range read restores after its tombstone was dropped.
TEST_CASE("a range read that is older than the mirror restores nothing")
{
    RecordMirror mirror;
    mirror.apply({{"left", 1, "x"}}, {Era, 1});
    std::vector<StoreRecord> changes{{"left", 2, std::nullopt}};
    std::uint64_t revision = 2;
    for (std::size_t i = 0; i < 2 * RecordMirror::MaxTombstones; ++i) {
        const auto key = std::to_string(i);
        changes.push_back({key, ++revision, "x"});
        changes.push_back({key, ++revision, std::nullopt});
    }
    mirror.apply(changes, {Era, revision});
    CHECK(mirror.applySnapshot({{"left", 1, "x"}}, {Era, 1}).empty());
    CHECK(mirror.records().empty());
}

TEST_CASE("changes that are already known are not reported again")
{
    // Guards against schedulers that are reconfigured by each repeated record.
    RecordMirror mirror;
    CHECK(mirror.apply({{"a", 3, "1"}}, {Era, 3}).size() == 1);
    CHECK(mirror.apply({{"a", 3, "1"}}, {Era, 3}).empty());
    CHECK(mirror.apply({{"a", 2, "0"}}, {Era, 3}).empty());
    CHECK(mirror.applySnapshot({{"a", 3, "1"}}, {Era, 4}).empty());
    CHECK(mirror.applySnapshot({}, {Era, 5}).size() == 1);
    CHECK(mirror.position() == StorePosition{Era, 5});
}
