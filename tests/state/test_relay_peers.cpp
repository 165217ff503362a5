#include "state/relay_peers.h"

#include <doctest/doctest.h>

using namespace persimmon::state;

namespace {

MemberState makeMember(const std::string &name, const std::string &region)
{
    MemberState member;
    member.control = name;
    member.relay = name;
    member.failureDomain = region + "-a";
    member.region = region;
    member.phase = EntryPhase::Ready;
    member.capacity = 100;
    return member;
}

} // namespace

// Guards against requests that are passed on to hosts that cannot serve them either.
TEST_CASE("requests are passed on only to ready hosts that reach upstreams")
{
    auto starting = makeMember("starting", "r");
    starting.phase = EntryPhase::Starting;
    auto leaving = makeMember("leaving", "r");
    leaving.phase = EntryPhase::Leaving;
    auto cut = makeMember("cut", "r");
    cut.upstreamsUnreachable = true;
    auto earlier = makeMember("earlier version", "r");
    earlier.relay.clear();
    std::vector<MemberState> members{makeMember("self", "r"), starting, leaving, cut, earlier};
    RelayPeers peers(1);
    CHECK_FALSE(RelayPeers::hasPeer(members, {}));
    CHECK_FALSE(peers.choose(members, {}, {}));
    members.push_back(makeMember("good", "s"));
    CHECK(RelayPeers::hasPeer(members, {}));
    CHECK(peers.choose(members, {}, {})->control == "good");
    CHECK_FALSE(peers.choose(members, {}, {"good"}));
}

// Guards against requests that are sent to hosts outside their home regions.
TEST_CASE("requests with home regions are passed on only to hosts in these")
{
    const std::vector<MemberState> members{makeMember("self", "r"), makeMember("near", "r"),
                                           makeMember("home", "s")};
    RelayPeers peers(1);
    for (int i = 0; i < 20; ++i)
        CHECK(peers.choose(members, {"s"}, {})->control == "home");
    CHECK_FALSE(RelayPeers::hasPeer(members, {"t"}));
}

// Guards against one host that takes all requests of the hosts that are cut.
TEST_CASE("concurrent requests are spread over the hosts, most to those with capacity left")
{
    auto busy = makeMember("busy", "r");
    busy.load = 90;
    const std::vector<MemberState> members{makeMember("self", "r"), makeMember("idle", "r"), busy,
                                           makeMember("far", "s")};
    RelayPeers peers(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 30; ++i) {
        const auto peer = peers.choose(members, {}, {});
        REQUIRE(peer);
        peers.onStarted(peer->control);
        ++counts[peer->control];
    }
    CHECK(counts["idle"] > counts["far"]);
    CHECK(counts["far"] > counts["busy"]);
    CHECK(counts["busy"] > 0);
}
