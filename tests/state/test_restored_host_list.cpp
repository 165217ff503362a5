#include "tests/state/restored_service.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using namespace std::chrono_literals;

namespace {

const ViewStore::TimePoint Start{1h};
/// Longer than the time for which stores keep what a restored service lacks.
constexpr auto AfterReconciliation = 10s;

Names entryHosts(ViewStore &store)
{
    Names names;
    for (const auto &[name, host] : store.view()->entryHosts)
        names.insert(name);
    return names;
}

} // namespace

// Guards against hosts that join or leave after a restore and are not known, as the revision of the
// list is not above one of the lost history.
TEST_CASE("a host list that changes after a restore is taken")
{
    Service service;
    service.putHost("h1");
    service.putHost("h2");
    const auto copy = service;
    service.putHost("h3");
    service.putHost("h4");
    ViewStore store("h1");
    ViewStore peer("h2");
    store.applyHosts(service.hostList(), Start);
    exchange(peer, store, Start);

    service.restore(copy);
    service.putHost("h5");
    service.removeHost("h2");
    store.applyHosts(service.hostList(), Start + 1s);
    exchange(peer, store, Start + 1s);
    const auto end = Start + AfterReconciliation;
    CHECK(entryHosts(store) == Names{"h1", "h2", "h3", "h4", "h5"});
    CHECK(entryHosts(peer) == entryHosts(store));
    store.applyHosts(service.hostList(), end);
    exchange(peer, store, end);
    CHECK(entryHosts(store) == Names{"h1", "h5"});
    CHECK(entryHosts(peer) == Names{"h1", "h5"});
}

// Guards against a host that has left and returns with the restored copy, and against one that
// disappears because the copy is older than its start.
TEST_CASE("hosts that a restore has changed stay as known while the list is written again")
{
    Service service;
    service.putHost("h1");
    service.putHost("left");
    service.putHost("leaving");
    const auto copy = service;
    service.removeHost("left");
    service.putHost("leaving", protocol::HostState::Leaving);
    service.putHost("new");
    ViewStore store("h1");
    store.applyHosts(service.hostList(), Start);
    service.restore(copy);
    for (int read = 0; read < 3; ++read) {
        service.putHost("other" + std::to_string(read));
        store.applyHosts(service.hostList(), Start + read * 1s);
        CHECK_FALSE(entryHosts(store).contains("left"));
        CHECK(entryHosts(store).contains("new"));
        CHECK(store.view()->entryHosts.at("leaving").state == protocol::HostState::Leaving);
    }
    service.removeHost("other1");
    service.putHost("left");
    service.putHost("new");
    store.applyHosts(service.hostList(), Start + 3s);
    CHECK(entryHosts(store) == Names{"h1", "left", "leaving", "new", "other0", "other2"});
}

// Guards against an agent that reads the list before the end of the delay only, and against hosts
// lost by a restore that return from an agent that was isolated.
TEST_CASE("the restored host list is adopted once and not undone by an isolated agent")
{
    Service service;
    service.putHost("h1");
    const auto copy = service;
    service.putHost("lost");
    ViewStore store("h1");
    ViewStore isolated("h2");
    store.applyHosts(service.hostList(), Start);
    isolated.applyHosts(service.hostList(), Start);
    service.restore(copy);
    store.applyHosts(service.hostList(), Start);
    const auto end = Start + AfterReconciliation;
    // The list has not changed since the first read of the era.
    store.applyHosts(service.hostList(), end);
    CHECK(entryHosts(store) == Names{"h1"});
    isolated.applyHosts(service.hostList(), end);
    exchange(store, isolated, end);
    CHECK(entryHosts(store) == Names{"h1"});
    exchange(isolated, store, end);
    CHECK(entryHosts(isolated) == Names{"h1"});
}

// Guards against schedules of changes, restores, reads and exchanges in which lists end apart.
TEST_CASE("host lists converge after restores in any schedule")
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        Service service;
        service.putHost("h0");
        auto copy = service;
        std::array<ViewStore, 3> stores{ViewStore("h0"), ViewStore("h1"), ViewStore("h2")};
        auto now = Start;
        for (int step = 0; step < 60; ++step, now += 300ms) {
            auto &store = stores[random() % stores.size()];
            const auto action = random() % 16;
            const auto name = "h" + std::to_string(random() % 4);
            if (action < 3)
                service.putHost(name, static_cast<protocol::HostState>(random() % 2));
            else if (action == 3)
                service.removeHost(name);
            else if (action == 4)
                copy = service;
            else if (action == 5)
                service.restore(copy);
            else if (action < 10)
                store.applyHosts(service.hostList(), now);
            else
                exchange(store, stores[random() % stores.size()], now);
        }
        service.putHost("last");
        for (int round = 0; round < 3; ++round, now += AfterReconciliation) {
            stores[0].applyHosts(service.hostList(), now);
            for (auto &store : stores)
                exchange(store, stores[0], now);
        }
        Names expected;
        for (const auto &[name, host] : service.hosts)
            expected.insert(name);
        for (auto &store : stores)
            REQUIRE(entryHosts(store) == expected);
    }
    MESSAGE("seeds 1 to 1000");
}
