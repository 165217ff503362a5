#include "tests/coordination/follower_fixture.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::coordination;
using namespace persimmon::coordination::test;
using namespace std::chrono_literals;

namespace {

/// Loads three records at revision 50 of the first era.
void load(FollowerFixture &fixture)
{
    fixture.position = {1, 47};
    fixture.historyStart = 47;
    fixture.write("config", "10");
    fixture.write("server", "s");
    fixture.write("zone", "z");
    fixture.advance(10s);
    REQUIRE(fixture.mirror().position() == StorePosition{1, 50});
    REQUIRE(fixture.mirror().isReconciled());
}

const std::map<std::string, std::string> Loaded{{"config", "10"}, {"server", "s"}, {"zone", "z"}};

} // namespace

// Guards against a host that stays at a revision that the restored store does not have.
TEST_CASE("a restored store is read once and then watched")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.restore(49, {{"config", 48, "10"}, {"server", 49, "s"}});
    const auto reads = fixture.reads;
    const auto watches = fixture.watches;
    fixture.advance(10s);
    CHECK(fixture.reads - reads == 1);
    CHECK(fixture.gone <= 1);
    // One watch a second, and the one that the restore ends.
    CHECK(fixture.watches - watches <= 11);
    CHECK(fixture.mirror().position() == StorePosition{2, 49});
    fixture.write("config", "12");
    fixture.advance(500ms);
    CHECK(fixture.shown.at("config") == "12");
    CHECK(fixture.reads - reads == 1);
}

// Guards against changes that are applied without those of the new era before them.
TEST_CASE("a watch answered from a new era leads to one complete read")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.restore(48, {{"config", 48, "10"}});
    fixture.historyStart = 0;
    fixture.write("server", "s");
    fixture.write("zone", "y");
    fixture.write("config", "12");
    const auto reads = fixture.reads;
    fixture.advance(10s);
    CHECK(fixture.reads - reads == 1);
    CHECK(fixture.gone == 0);
    CHECK(fixture.mirror().position() == StorePosition{2, 51});
    CHECK(fixture.shown
          == std::map<std::string, std::string>{{"config", "12"}, {"server", "s"}, {"zone", "y"}});
}

// Guards against a watch that continues at a revision of the previous era after a peer has moved
// this host into the new one.
TEST_CASE("a watch from an earlier era is not applied to records of a peer from the new one")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.restore(47, {});
    fixture.historyStart = 0;
    fixture.write("server", "s");
    const state::RecordDelta delta{{{"server", 48, "s", 2, true}}, fixture.position, true, false};
    fixture.write("config", "12");
    fixture.write("zone", "y");
    fixture.write("other", "o");
    fixture.onWatch = [&] { fixture.follower().applyPeerDelta(delta, "peer"); };
    fixture.advance(3s);
    CHECK(fixture.shown
          == std::map<std::string, std::string>{
                  {"config", "12"}, {"server", "s"}, {"zone", "y"}, {"other", "o"}});
}

// Guards against a host that does not return to the watch after history was discarded, and prints
// how often it reads a store that has none.
TEST_CASE("a store that discards its history is read and then watched again")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.restore(49, {{"config", 48, "10"}});
    fixture.advance(2s);
    fixture.historyStart = fixture.position.revision + 1;
    const auto reads = fixture.reads;
    fixture.advance(10s);
    const auto inLoop = fixture.reads - reads;
    MESSAGE("reads in 10 s without history: " << inLoop);
    fixture.historyStart = fixture.position.revision;
    fixture.write("config", "12");
    fixture.advance(2s);
    CHECK(fixture.shown.at("config") == "12");
    const auto readsBefore = fixture.reads;
    fixture.advance(10s);
    CHECK(fixture.reads == readsBefore);
}

// Guards against a mixture of the contents of two eras.
TEST_CASE("a read whose pages are from two eras is repeated")
{
    FollowerFixture fixture;
    fixture.pageSize = 1;
    fixture.position = {1, 50};
    fixture.items = {{"config", 48, "10"}, {"server", 49, "s"}, {"zone", 50, "z"}};
    fixture.onPage = [&] {
        fixture.onPage = nullptr;
        fixture.restore(49, {{"config", 40, "9"}, {"server", 49, "s"}});
    };
    fixture.advance(2s);
    CHECK(fixture.mirror().position() == StorePosition{2, 49});
    CHECK(fixture.shown == std::map<std::string, std::string>{{"config", "9"}, {"server", "s"}});
}

// Guards against a host that believes an old replica, or a store of which no restore is known.
TEST_CASE("a store of a lower era than the known one is not believed")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.follower().applyPeerDelta(
            {{{"config", 51, "12", 3, true}}, StorePosition{3, 51}, true, false}, "peer");
    fixture.historyStart = 0;
    const auto reads = fixture.reads;
    fixture.advance(10s);
    CHECK(fixture.mirror().position() == StorePosition{3, 51});
    CHECK(fixture.shown.at("config") == "12");
    CHECK(fixture.reads - reads <= 12);
    CHECK(fixture.follower().isStoreUnreachable());
    fixture.position = {3, 51};
    fixture.items = {{"config", 51, "12"}};
    fixture.historyStart = 51;
    fixture.advance(2s);
    CHECK_FALSE(fixture.follower().isStoreUnreachable());
}

// Guards against a host that drops what it knows because the store shows less for a moment.
TEST_CASE("what the restored store lacks is kept until the reconcile time is over")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.write("config", "12");
    fixture.advance(1s);
    fixture.restore(48, {{"config", 48, "10"}});
    fixture.advance(ReconcileTime - 200ms);
    CHECK(fixture.shown
          == std::map<std::string, std::string>{{"config", "12"}, {"server", "s"}, {"zone", "z"}});
    fixture.write("server", "s");
    fixture.advance(10s);
    CHECK(fixture.mirror().isReconciled());
    CHECK(fixture.shown == std::map<std::string, std::string>{{"config", "12"}, {"server", "s"}});
}

// Guards against records that are dropped because this host could not see them written again.
TEST_CASE("a host that is cut off from the store after the restore does not reconcile")
{
    for (const auto cutAfter : {300ms, 700ms, 1000ms, 2000ms, 4000ms}) {
        CAPTURE(cutAfter.count());
        FollowerFixture fixture;
        load(fixture);
        fixture.restore(48, {{"config", 48, "10"}});
        for (auto time = 0ms; time < cutAfter; time += 100ms) {
            fixture.write("other", std::to_string(time.count()));
            fixture.advance(100ms);
        }
        fixture.isAway = true;
        fixture.advance(10s);
        // The shortest time may end before the host has read the new era.
        CHECK(fixture.mirror().isReconciled() == (fixture.mirror().position().era == 1));
        fixture.shown.erase("other");
        CHECK(fixture.shown == Loaded);
        fixture.write("server", "s");
        fixture.write("zone", "z");
        fixture.write("other", std::nullopt);
        fixture.isAway = false;
        fixture.advance(10s);
        CHECK(fixture.mirror().isReconciled());
        CHECK(fixture.shown == Loaded);
    }
}

// Guards against a follower that takes the answer of a peer that is cut off from the store as the
// state of the store.
TEST_CASE("a host that follows a peer which receives nothing does not reconcile")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.source = {false, "peer"};
    const state::RecordDelta delta{
            {{"config", 48, "10", 2, false}}, StorePosition{2, 48}, true, false};
    fixture.peer = [&](StorePosition) { return delta; };
    fixture.advance(20s);
    CHECK(fixture.mirror().position() == StorePosition{2, 48});
    CHECK_FALSE(fixture.mirror().isReconciled());
    CHECK(fixture.shown == Loaded);
}

// Guards against followers that never drop what was lost, as they do not read the store.
TEST_CASE("a host reconciles with a peer that is reconciled, and not before it is as new")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.isAway = true;
    fixture.follower().applyPeerDelta(
            {{{"config", 48, "10", 2, false}}, StorePosition{2, 48}, true, false}, "peer");
    CHECK(fixture.shown == Loaded);
    fixture.follower().observePeerPosition({2, 60}, true);
    CHECK_FALSE(fixture.mirror().isReconciled());
    fixture.follower().observePeerPosition({1, 48}, true);
    CHECK_FALSE(fixture.mirror().isReconciled());
    fixture.follower().observePeerPosition({2, 48}, true);
    CHECK(fixture.mirror().isReconciled());
    CHECK(fixture.shown == std::map<std::string, std::string>{{"config", "10"}});
}

// Guards against a host that learns of the new era only when its own watch ends.
TEST_CASE("an era that a peer reports restarts the watch at once")
{
    FollowerFixture fixture;
    load(fixture);
    // The held watch of the old connection does not notice the restore.
    const auto watches = fixture.watches;
    fixture.follower().observePeerPosition({2, 40}, false);
    CHECK(fixture.follower().needsPeerRecords());
    fixture.advance(1s);
    CHECK(fixture.watches > watches);
}

// Guards against a reconciliation that was scheduled for the first restore and ends the second one.
TEST_CASE("a second restore within the reconcile time starts it again")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.restore(49, {{"config", 48, "10"}, {"server", 49, "s"}});
    fixture.advance(3s);
    CHECK(fixture.mirror().position().era == 2);
    fixture.restore(48, {{"config", 48, "10"}});
    fixture.advance(ReconcileTime - 500ms);
    CHECK(fixture.mirror().position().era == 3);
    CHECK_FALSE(fixture.mirror().isReconciled());
    CHECK(fixture.shown == Loaded);
    fixture.advance(10s);
    CHECK(fixture.mirror().isReconciled());
}

// Guards against a host that starts after a restore and never shows, or never drops, what it reads.
TEST_CASE("a host that starts between two restores shows the store and then what a peer knows")
{
    FollowerFixture fixture;
    fixture.position = {2, 48};
    fixture.items = {{"config", 48, "10"}};
    fixture.historyStart = 48;
    fixture.advance(1s);
    CHECK(fixture.shown == std::map<std::string, std::string>{{"config", "10"}});
    fixture.restore(48, {{"config", 48, "10"}});
    fixture.advance(1s);
    fixture.write("config", "12");
    fixture.advance(1s);
    CHECK(fixture.mirror().position() == StorePosition{3, 49});
    CHECK(fixture.shown.at("config") == "12");
}

// Guards against a host that leaves the store because a peer was faster than its own read.
TEST_CASE("a read that a peer overtakes does not make the store unreachable")
{
    FollowerFixture fixture;
    fixture.pageSize = 1;
    fixture.position = {1, 50};
    fixture.items = {{"config", 48, "10"}, {"server", 49, "s"}};
    fixture.historyStart = 50;
    fixture.onPage = [&] {
        fixture.onPage = nullptr;
        fixture.write("zone", "z");
        fixture.follower().applyPeerDelta({{{"config", 48, "10", 1, true},
                                            {"server", 49, "s", 1, true},
                                            {"zone", 51, "z", 1, true}},
                                           fixture.position,
                                           true,
                                           false},
                                          "peer");
    };
    for (int i = 0; i < 100; ++i) {
        fixture.advance(Step);
        CHECK_FALSE(fixture.follower().isStoreUnreachable());
    }
    CHECK(fixture.shown == Loaded);
}

// Guards against an outage that looks like a store that answers, and the reverse.
TEST_CASE("a follower knows whether the store had an outage in which registrations expire")
{
    FollowerFixture fixture;
    load(fixture);
    const auto since = fixture.follower().availability().period()->since;
    const auto isOutage = [&](std::chrono::milliseconds time) {
        fixture.write("config", "11");
        fixture.advance(50ms);
        fixture.isAway = true;
        fixture.advance(time);
        fixture.isAway = false;
        fixture.advance(3s);
        const auto end = fixture.follower().availability().outageEnd();
        return end && *end > since;
    };
    CHECK_FALSE(isOutage(0ms));
    CHECK_FALSE(isOutage(300ms));
    CHECK(fixture.returns == 0);
    CHECK(isOutage(4s));
    CHECK(fixture.returns == 1);
}

// Guards against a follower that waits for a source that stands still until that counts as dead.
TEST_CASE("a follower whose source does not answer reads the store at once")
{
    FollowerFixture fixture;
    load(fixture);
    fixture.source = {false, "peer"};
    fixture.peerWait = 1600ms;
    fixture.peer = [](StorePosition) -> Result<state::RecordDelta, StoreFailure> {
        return state::RecordDelta{};
    };
    fixture.advance(10s);
    CHECK(fixture.silentPeers == 0);
    fixture.isPeerSilent = true;
    fixture.write("config", "11");
    fixture.advance(fixture.peerWait + 500ms);
    CHECK(fixture.silentPeers == 1);
    CHECK(fixture.shown.at("config") == "11");
}
