#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};

EntryRow makeRow(const std::string &name, const std::string &region = "r1",
                 EntryPhase phase = EntryPhase::Ready)
{
    EntryRow row;
    row.control = name;
    row.front = name + ":front";
    row.region = region;
    row.incarnation = 1;
    row.heartbeat = 1;
    row.phase = phase;
    return row;
}

std::vector<std::string> namesOf(const std::vector<EntryRow> &rows)
{
    std::vector<std::string> names;
    for (const auto &row : rows)
        names.push_back(row.control);
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("a host whose heartbeat stands still is dead, even if others repeat its row")
{
    // Guards against a directory that names a killed host because its old row goes round.
    EntryMembership membership(makeRow("a"));
    CHECK(membership.merge({makeRow("b")}, Start));
    CHECK(membership.liveCount() == 2);
    for (auto now = Start; now <= Start + seconds(4); now += seconds(1)) {
        membership.merge({makeRow("b")}, now);
        membership.expire(now);
    }
    CHECK(membership.liveCount() == 1);
    auto later = makeRow("b");
    later.heartbeat = 2;
    CHECK(membership.merge({later}, Start + seconds(5)));
    CHECK(membership.liveCount() == 2);
}

TEST_CASE("a host that was paused does not take the others for dead")
{
    // Guards against a host that wakes up, believes that it is alone, and uses the parts of shared
    // limits that belong to the others.
    EntryMembership membership(makeRow("a"));
    membership.merge({makeRow("b"), makeRow("c", "r2")}, Start);
    const auto woken = Start + seconds(8);
    membership.onPause(woken);
    CHECK_FALSE(membership.expire(woken));
    CHECK(membership.liveCount() == 3);
    // Those that stay silent are found dead later.
    CHECK(membership.expire(woken + seconds(6)));
    CHECK(membership.liveCount() == 1);
}

TEST_CASE("a restarted host wins over rows of its earlier start")
{
    // Guards against a host whose clock jumped back and whose new rows nobody takes.
    EntryMembership restarted(makeRow("a"));
    auto old = makeRow("a");
    old.incarnation = 50;
    old.heartbeat = 900;
    restarted.merge({old}, Start);
    CHECK(restarted.self().incarnation > 50);
    EntryMembership other(makeRow("b"));
    other.merge({old}, Start);
    other.merge({restarted.self()}, Start);
    old.heartbeat = 901;
    other.merge({old}, Start);
    for (const auto &row : other.liveRows()) {
        if (row.control == "a")
            CHECK(row.incarnation == restarted.self().incarnation);
    }
}

TEST_CASE("all hosts choose the same active ones, and more when the load grows")
{
    // Load pattern: many hosts with little load, then a burst. Guards against two hosts that take
    // the same part of a shared limit, and against a few hosts that carry a burst alone.
    std::vector<EntryRow> rows;
    for (int i = 0; i < 20; ++i) {
        auto row = makeRow("h" + std::to_string(i), "r1");
        row.failureDomain = i % 2 == 0 ? "d1" : "d2";
        row.capacity = i < 10 ? 1000 : 4000;
        rows.push_back(row);
    }
    const auto active = activeEntries(rows);
    REQUIRE(active.size() == 4);
    for (const auto &row : active)
        CHECK(row.capacity == 4000);
    auto shuffled = rows;
    std::reverse(shuffled.begin(), shuffled.end());
    CHECK(activeEntries(shuffled) == active);
    for (auto &row : rows)
        row.load = 1000;
    std::uint64_t capacity = 0;
    for (const auto &row : activeEntries(rows))
        capacity += row.capacity;
    CHECK(capacity >= 2 * 20 * 1000);
    // All hosts carry what is too much for them together.
    for (auto &row : rows)
        row.load = 100'000;
    CHECK(activeEntries(rows).size() == rows.size());
}

TEST_CASE("callers are told of ready hosts in their region if it serves")
{
    // Guards against hosts that leave or start, and against a far host where a near one serves.
    const std::vector<EntryRow> rows{makeRow("a", "r1"), makeRow("b", "r2"),
                                     makeRow("c", "r1", EntryPhase::Leaving), makeRow("d", "r3"),
                                     makeRow("e", "r1", EntryPhase::Starting)};
    CHECK(namesOf(chooseEntries(rows, "r1", {"r1", "r2"}, 64)) == Names{"a"});
    CHECK(namesOf(chooseEntries(rows, "r3", {"r1", "r2"}, 64)) == Names{"a", "b"});
    CHECK(namesOf(chooseEntries(rows, "r3", {}, 64)) == Names{"a", "b", "d"});
    CHECK(namesOf(chooseEntries({rows[2], rows[4]}, "r1", {"r1"}, 64)) == Names{"e"});
    CHECK(chooseEntries(rows, "r3", {}, 2).size() == 2);
}

TEST_CASE("membership converges after random exchanges, losses and restarts")
{
    // Guards against views that stay apart although hosts exchange rows again.
    std::mt19937 random(9);
    for (int schedule = 0; schedule < 1000; ++schedule) {
        std::vector<EntryMembership> hosts;
        for (const auto *name : {"a", "b", "c", "d"})
            hosts.emplace_back(makeRow(name));
        auto now = Start;
        const auto exchange = [&](std::size_t from, std::size_t to) {
            hosts[to].merge(hosts[from].rowsFor(hosts[to].self().control), now);
            hosts[from].merge(hosts[to].rowsFor(hosts[from].self().control), now);
        };
        std::uint64_t incarnation = 2;
        for (int step = 0; step < 60; ++step) {
            now += milliseconds(random() % 300);
            const auto from = random() % hosts.size();
            hosts[from].beat();
            if (random() % 10 == 0) {
                auto row = makeRow(hosts[from].self().control);
                row.incarnation = random() % 2 == 0 ? ++incarnation : 1;
                hosts[from] = EntryMembership(row);
            }
            if (random() % 3 != 0)
                exchange(from, random() % hosts.size());
            for (auto &host : hosts)
                host.expire(now);
        }
        for (int round = 0; round < 4; ++round) {
            for (std::size_t from = 0; from < hosts.size(); ++from) {
                hosts[from].beat();
                for (std::size_t to = 0; to < hosts.size(); ++to)
                    exchange(from, to);
            }
        }
        for (const auto &host : hosts)
            CHECK(host.liveCount() == hosts.size());
    }
}

TEST_CASE("a few hosts read the store and all others reach one of them")
{
    // Guards against calls that grow with the number of hosts, and against hosts that follow each
    // other in a circle.
    for (std::size_t count : {1, 2, 6, 68, 500}) {
        std::vector<EntryRow> rows;
        for (std::size_t i = 0; i < count; ++i)
            rows.push_back(makeRow("h" + std::to_string(i), "r" + std::to_string(i % 3)));
        std::map<std::string, StoreSource> sources;
        for (const auto &row : rows)
            sources[row.control] = storeSourceOf(rows, row.control);
        std::size_t readers = 0;
        std::map<std::string, std::size_t> followers;
        for (const auto &[name, source] : sources) {
            readers += source.readsStore ? 1 : 0;
            if (!source.readsStore)
                ++followers[source.peer];
            auto at = name;
            std::size_t steps = 0;
            while (!sources.at(at).readsStore && steps <= count) {
                at = sources.at(at).peer;
                ++steps;
            }
            CHECK(steps <= 5);
        }
        CHECK(readers == std::min(count, StoreReaders));
        for (const auto &[name, number] : followers)
            CHECK(number <= StoreFollowers);
    }
}

TEST_CASE("another host reads the store in place of one that lost it")
{
    // Guards against a region that hears nothing because its reader is turned away by the store.
    std::vector<EntryRow> rows{makeRow("a", "r1"), makeRow("b", "r1"), makeRow("c", "r2")};
    rows.push_back(makeRow("d", "r1"));
    rows.push_back(makeRow("e", "r2"));
    CHECK(storeSourceOf(rows, "a").readsStore);
    CHECK(storeSourceOf(rows, "d") == StoreSource{false, "a"});
    rows[0].storeLost = true;
    CHECK(storeSourceOf(rows, "a").readsStore);
    CHECK(storeSourceOf(rows, "b").readsStore);
    CHECK(storeSourceOf(rows, "d").readsStore);
    for (auto &row : rows)
        row.storeLost = true;
    for (const auto &row : rows)
        CHECK(storeSourceOf(rows, row.control).readsStore);
    // One that leaves follows, and is followed by nobody.
    rows = {makeRow("a", "r1", EntryPhase::Leaving), makeRow("b", "r1"), makeRow("c", "r1")};
    CHECK(storeSourceOf(rows, "a") == StoreSource{false, "b"});
}

TEST_CASE("hosts that hold the same rows keep each other alive by heartbeats alone")
{
    // Guards against a digest that differs for the same rows, and against heartbeats that revive a
    // dead host.
    EntryMembership a(makeRow("a"));
    EntryMembership b(makeRow("b"));
    a.merge({makeRow("b"), makeRow("c")}, Start);
    b.merge({makeRow("c"), makeRow("a")}, Start);
    CHECK(a.digest() == b.digest());
    b.beat();
    CHECK(a.digest() == b.digest());
    a.merge(b.heartbeats(), Start + seconds(3));
    a.expire(Start + seconds(4));
    CHECK(namesOf(a.liveRows()) == Names{"a", "b"});
    CHECK(a.digest() != b.digest());
    a.merge(b.heartbeats(), Start + seconds(5));
    CHECK(namesOf(a.liveRows()) == Names{"a", "b"});
    b.setPhase(EntryPhase::Leaving);
    CHECK(a.merge({b.self()}, Start + seconds(5)));
}
