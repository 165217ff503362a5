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

} // namespace

// Guards against a change that is confirmed after a restore and never in force, as its revision is
// not above one of the lost history.
TEST_CASE("a configuration confirmed after a restore is in force")
{
    Service service;
    service.set("out/domains", R"(["a"])");
    const auto copy = service;
    service.set("out/domains", R"(["b"])");
    service.set("out/hosts", R"(["h1"])");
    ViewStore store("h1");
    ViewStore peer("h2");
    store.applyConfig(service.config(), Start);
    exchange(peer, store, Start);

    service.restore(copy);
    service.set("out/domains", R"(["c"])");
    store.applyConfig(service.config(), Start + 1s);
    exchange(peer, store, Start + 1s);
    CHECK(store.view()->outDomains == Names{"c"});
    CHECK(peer.view()->outDomains == Names{"c"});
    service.set("out/hosts", R"(["h3"])");
    store.applyConfig(service.config(), Start + 2s);
    exchange(peer, store, Start + 2s);
    CHECK(store.view()->outHosts == Names{"h3"});
    CHECK(peer.view()->outHosts == Names{"h3"});
}

// Guards against an older value, or one that was withdrawn, which returns with the restored copy
// before the newer one is written again.
TEST_CASE("a value that a restore has lost stays in force while it is written again")
{
    Service service;
    service.set("out/domains", R"(["a"])");
    service.set("profile/p", std::nullopt);
    service.set("out/hosts", R"(["h1"])");
    const auto copy = service;
    service.set("out/domains", R"(["b"])");
    service.set("out/hosts", std::nullopt);
    ViewStore store("h1");
    store.applyConfig(service.config(), Start);
    service.restore(copy);
    for (int read = 0; read < 3; ++read) {
        store.applyConfig(service.config(), Start + read * 1s);
        CHECK(store.view()->outDomains == Names{"b"});
        CHECK(store.view()->outHosts.empty());
    }
    // A host that starts meanwhile takes it from its peers.
    ViewStore late("h2");
    late.applyConfig(service.config(), Start + 3s);
    exchange(late, store, Start + 3s);
    CHECK(late.view()->outDomains == Names{"b"});
    CHECK(late.view()->outHosts.empty());

    service.set("out/domains", R"(["b"])");
    store.applyConfig(service.config(), Start + 4s);
    store.applyConfig(service.config(), Start + AfterReconciliation);
    CHECK(store.view()->outDomains == Names{"b"});
}

// Guards against hosts that differ forever about a value that was lost and not written again.
TEST_CASE("the state of a restored service is adopted where nothing was written again")
{
    Service service;
    service.set("out/domains", R"(["a"])");
    const auto copy = service;
    service.set("out/domains", R"(["b"])");
    service.set("out/hosts", R"(["h1"])");
    ViewStore store("h1");
    ViewStore peer("h2");
    ViewStore isolated("h3");
    for (auto *reader : {&store, &peer, &isolated})
        reader->applyConfig(service.config(), Start);
    service.restore(copy);
    store.applyConfig(service.config(), Start);
    exchange(peer, store, Start);
    const auto end = Start + AfterReconciliation;
    store.applyConfig(service.config(), end);
    exchange(peer, store, end);
    for (auto *reader : {&store, &peer}) {
        CHECK(reader->view()->outDomains == Names{"a"});
        CHECK(reader->view()->outHosts.empty());
    }
    // A host that could reach nobody meanwhile does not bring the lost values back.
    exchange(store, isolated, end);
    CHECK(store.view()->outHosts.empty());
    CHECK(store.view()->outDomains == Names{"a"});
    exchange(isolated, store, end);
    CHECK(isolated.view()->outHosts.empty());
    CHECK(isolated.config().digest() == store.config().digest());
}

// Guards against schedules of edits, restores, reads and exchanges in which stores end apart or a
// value of an era returns after a later one of the same key.
TEST_CASE("stores converge after restores in any schedule")
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const std::array<std::optional<std::string>, 4> values{R"(["a"])", R"(["b"])", std::nullopt,
                                                               R"({"invalid":1})"};
        Service service;
        auto copy = service;
        std::array<ViewStore, 3> stores{ViewStore("h0"), ViewStore("h1"), ViewStore("h2")};
        auto now = Start;
        for (int step = 0; step < 60; ++step, now += 300ms) {
            auto &store = stores[random() % stores.size()];
            const auto action = random() % 16;
            if (action < 4)
                service.set(random() % 2 == 0 ? "out/domains" : "out/hosts",
                            values[random() % values.size()]);
            else if (action == 4)
                copy = service;
            else if (action == 5 && copy.revision > 0)
                service.restore(copy);
            else if (action < 10)
                store.applyConfig(service.config(), now);
            else
                exchange(store, stores[random() % stores.size()], now);
        }
        // The last write is confirmed, whatever was known before.
        service.set("out/domains", R"(["last"])");
        stores[0].applyConfig(service.config(), now);
        for (auto &store : stores)
            exchange(store, stores[0], now);
        for (auto &store : stores)
            REQUIRE(store.view()->outDomains == Names{"last"});
        now += AfterReconciliation;
        stores[0].applyConfig(service.config(), now);
        // Each store asks for all entries at most once in FullRequestInterval.
        for (int round = 0; round < 4; ++round, now += 2 * ViewStore::FullRequestInterval) {
            for (std::size_t i = 0; i < stores.size(); ++i) {
                for (std::size_t step = 1; step < stores.size(); ++step)
                    exchange(stores[i], stores[(i + step) % stores.size()], now);
            }
        }
        for (auto &store : stores) {
            REQUIRE(store.config().digest() == stores[0].config().digest());
            REQUIRE(store.view()->outHosts == stores[0].view()->outHosts);
        }
    }
    MESSAGE("seeds 1 to 1000");
}
