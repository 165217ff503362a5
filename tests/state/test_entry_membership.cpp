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

MemberState makeMember(const std::string &name, const std::string &region = "r1",
                       EntryPhase phase = EntryPhase::Ready)
{
    MemberState member;
    member.control = name;
    member.front = name + ":front";
    member.region = region;
    member.incarnation = 1;
    member.heartbeat = 1;
    member.phase = phase;
    return member;
}

std::vector<std::string> namesOf(const std::vector<MemberState> &members)
{
    std::vector<std::string> names;
    for (const auto &member : members)
        names.push_back(member.control);
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("a host whose heartbeat does not increase is dead even if peers relay its state")
{
    // Guards against a directory that lists a killed host because peers still relay its old state.
    EntryMembership membership(makeMember("a"));
    CHECK(membership.merge({makeMember("b")}, Start));
    CHECK(membership.liveCount() == 2);
    for (auto now = Start; now <= Start + seconds(4); now += seconds(1)) {
        membership.merge({makeMember("b")}, now);
        membership.expire(now);
    }
    CHECK(membership.liveCount() == 1);
    auto later = makeMember("b");
    later.heartbeat = 2;
    CHECK(membership.merge({later}, Start + seconds(5)));
    CHECK(membership.liveCount() == 2);
}

TEST_CASE("a host that was suspended does not mark its peers as dead")
{
    // Guards against a host that resumes, considers itself the only one, and uses the shares of the
    // others in shared limits.
    EntryMembership membership(makeMember("a"));
    membership.merge({makeMember("b"), makeMember("c", "r2")}, Start);
    const auto resumed = Start + seconds(8);
    membership.onPause(resumed);
    CHECK_FALSE(membership.expire(resumed));
    CHECK(membership.liveCount() == 3);
    // Peers without a later heartbeat are marked as dead after the timeout.
    CHECK(membership.expire(resumed + seconds(6)));
    CHECK(membership.liveCount() == 1);
}

TEST_CASE("a restarted host supersedes the state of its earlier incarnation")
{
    // Guards against a host whose clock moved back and whose new state is ignored by its peers.
    EntryMembership restarted(makeMember("a"));
    auto old = makeMember("a");
    old.incarnation = 50;
    old.heartbeat = 900;
    restarted.merge({old}, Start);
    CHECK(restarted.self().incarnation > 50);
    EntryMembership other(makeMember("b"));
    other.merge({old}, Start);
    other.merge({restarted.self()}, Start);
    old.heartbeat = 901;
    other.merge({old}, Start);
    for (const auto &member : other.liveMembers()) {
        if (member.control == "a")
            CHECK(member.incarnation == restarted.self().incarnation);
    }
}

// Guards against a live host that is taken for dead, and not listed to callers, after a peer that
// has not heard of its restart relayed the heartbeat of its earlier incarnation.
TEST_CASE("a heartbeat of an earlier incarnation does not hide those of a restarted host")
{
    EntryMembership membership(makeMember("a"));
    auto member = makeMember("b");
    member.heartbeat = 60;
    membership.merge({member}, Start);
    member.incarnation = 2;
    member.heartbeat = 1;
    member.phase = EntryPhase::Starting;
    membership.merge({member}, Start + seconds(1));
    membership.merge(std::vector<MemberHeartbeat>{{hostId("b"), 61, 0}}, Start + seconds(1));
    member.phase = EntryPhase::Ready;
    for (std::uint64_t second = 2; second <= 8; ++second) {
        member.heartbeat = second;
        membership.merge({member}, Start + seconds(second));
        membership.expire(Start + seconds(second));
    }
    REQUIRE(membership.liveCount() == 2);
    CHECK(membership.liveMembers().back().phase == EntryPhase::Ready);
}

TEST_CASE("all hosts select the same active hosts, and more of them under higher load")
{
    // Load pattern: many hosts with little load, then a burst. Guards against two hosts that use
    // the same share of a limit, and against a burst that is served by too few hosts.
    std::vector<MemberState> members;
    for (int i = 0; i < 20; ++i) {
        auto member = makeMember("h" + std::to_string(i), "r1");
        member.failureDomain = i % 2 == 0 ? "d1" : "d2";
        member.capacity = i < 10 ? 1000 : 4000;
        members.push_back(member);
    }
    const auto active = selectActiveEntries(members);
    REQUIRE(active.size() == 4);
    for (const auto &member : active)
        CHECK(member.capacity == 4000);
    auto shuffled = members;
    std::reverse(shuffled.begin(), shuffled.end());
    CHECK(selectActiveEntries(shuffled) == active);
    for (auto &member : members)
        member.load = 1000;
    std::uint64_t capacity = 0;
    for (const auto &member : selectActiveEntries(members))
        capacity += member.capacity;
    CHECK(capacity >= 2 * 20 * 1000);
    // All hosts are active when the load exceeds their total capacity.
    for (auto &member : members)
        member.load = 100'000;
    CHECK(selectActiveEntries(members).size() == members.size());
}

TEST_CASE("callers are assigned ready hosts in their region if it is a serving region")
{
    // Guards against returning hosts that are leaving or starting, or a host in another region
    // although one in the caller's region serves.
    const std::vector<MemberState> members{makeMember("a", "r1"), makeMember("b", "r2"),
                                           makeMember("c", "r1", EntryPhase::Leaving),
                                           makeMember("d", "r3"),
                                           makeMember("e", "r1", EntryPhase::Starting)};
    CHECK(namesOf(selectEntriesForCaller(members, "r1", {"r1", "r2"}, {}, 64)) == Names{"a"});
    CHECK(namesOf(selectEntriesForCaller(members, "r3", {"r1", "r2"}, {}, 64)) == Names{"a", "b"});
    CHECK(namesOf(selectEntriesForCaller(members, "r3", {}, {}, 64)) == Names{"a", "b", "d"});
    CHECK(namesOf(selectEntriesForCaller({members[2], members[4]}, "r1", {"r1"}, {}, 64))
          == Names{"e"});
    CHECK(selectEntriesForCaller(members, "r3", {}, {}, 2).size() == 2);
}

// Guards against callers that are sent to a region that may not handle their requests.
TEST_CASE("hosts outside the home regions are returned only to callers of their own region")
{
    const std::vector<MemberState> members{makeMember("a", "r1"), makeMember("b", "r2"),
                                           makeMember("c", "r3")};
    const std::vector<std::string> serving{"r1", "r2"};
    CHECK(namesOf(selectEntriesForCaller(members, "r3", serving, {"r1"}, 64)) == Names{"a"});
    CHECK(namesOf(selectEntriesForCaller(members, "r2", serving, {"r1"}, 64)) == Names{"b"});
    CHECK(namesOf(selectEntriesForCaller(members, "r1", serving, {"r3"}, 64)) == Names{"a"});
    CHECK(namesOf(selectEntriesForCaller(members, "r3", serving, {"r3"}, 64)) == Names{"c"});
    CHECK(namesOf(selectEntriesForCaller(members, "r3", {}, {"r2"}, 64)) == Names{"b"});
    // Callers are served by their own region while the home has no host.
    CHECK(namesOf(selectEntriesForCaller({members[1], members[2]}, "r3", serving, {"r1"}, 64))
          == Names{"c"});
}

TEST_CASE("membership converges after random exchanges, losses and restarts")
{
    // Guards against views that do not converge although hosts exchange states again.
    std::mt19937 random(9);
    for (int schedule = 0; schedule < 1000; ++schedule) {
        std::vector<EntryMembership> hosts;
        for (const auto *name : {"a", "b", "c", "d"})
            hosts.emplace_back(makeMember(name));
        auto now = Start;
        const auto exchange = [&](std::size_t from, std::size_t to) {
            hosts[to].merge(hosts[from].membersFor(hosts[to].self().control), now);
            hosts[from].merge(hosts[to].membersFor(hosts[from].self().control), now);
        };
        std::uint64_t incarnation = 2;
        for (int step = 0; step < 60; ++step) {
            now += milliseconds(random() % 300);
            const auto from = random() % hosts.size();
            hosts[from].advanceHeartbeat();
            if (random() % 10 == 0) {
                auto member = makeMember(hosts[from].self().control);
                member.incarnation = random() % 2 == 0 ? ++incarnation : 1;
                hosts[from] = EntryMembership(member);
            }
            if (random() % 3 != 0)
                exchange(from, random() % hosts.size());
            for (auto &host : hosts)
                host.expire(now);
        }
        for (int round = 0; round < 4; ++round) {
            for (std::size_t from = 0; from < hosts.size(); ++from) {
                hosts[from].advanceHeartbeat();
                for (std::size_t to = 0; to < hosts.size(); ++to)
                    exchange(from, to);
            }
        }
        for (const auto &host : hosts)
            CHECK(host.liveCount() == hosts.size());
    }
}

TEST_CASE("a few hosts read the store and all others follow one of them")
{
    // Guards against store calls that grow with the number of hosts, and against hosts that follow
    // each other in a cycle.
    for (std::size_t count : {1, 2, 6, 68, 500}) {
        std::vector<MemberState> members;
        for (std::size_t i = 0; i < count; ++i)
            members.push_back(makeMember("h" + std::to_string(i), "r" + std::to_string(i % 3)));
        std::map<std::string, StoreSource> sources;
        for (const auto &member : members)
            sources[member.control] = selectStoreSource(members, member.control);
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
        CHECK(readers == std::min(count, StoreReaderCount));
        for (const auto &[name, number] : followers)
            CHECK(number <= MaxStoreFollowers);
    }
}

TEST_CASE("another host reads the store in place of one that cannot reach it")
{
    // Guards against a region without updates because the store rejects the calls of its reader.
    std::vector<MemberState> members{makeMember("a", "r1"), makeMember("b", "r1"),
                                     makeMember("c", "r2")};
    members.push_back(makeMember("d", "r1"));
    members.push_back(makeMember("e", "r2"));
    CHECK(selectStoreSource(members, "a").readsStore);
    CHECK(selectStoreSource(members, "d") == StoreSource{false, "a"});
    members[0].storeUnreachable = true;
    CHECK(selectStoreSource(members, "a").readsStore);
    CHECK(selectStoreSource(members, "b").readsStore);
    CHECK(selectStoreSource(members, "d").readsStore);
    for (auto &member : members)
        member.storeUnreachable = true;
    for (const auto &member : members)
        CHECK(selectStoreSource(members, member.control).readsStore);
    // A leaving host follows another host and has no followers.
    members = {makeMember("a", "r1", EntryPhase::Leaving), makeMember("b", "r1"),
               makeMember("c", "r1")};
    CHECK(selectStoreSource(members, "a") == StoreSource{false, "b"});
}

// Guards against a host that waits for a source that stands still until that source counts as dead.
TEST_CASE("another host reads the store in place of one that does not answer its followers")
{
    EntryMembership membership(makeMember("b"));
    membership.merge({makeMember("a"), makeMember("c", "r2"), makeMember("d", "r3")}, Start);
    const auto sourceAt = [&](TimePoint now) { return membership.storeSource(now); };
    CHECK(sourceAt(Start) == StoreSource{false, "a"});
    membership.suspect("a", Start);
    CHECK(sourceAt(Start) == StoreSource{true, ""});
    // A suspected host is live, and its callers and peers are not affected.
    CHECK(membership.liveCount() == 4);
    // What others relay of it says nothing of its answers to this host.
    auto relayed = makeMember("a");
    relayed.heartbeat = 9;
    membership.merge({makeMember("c", "r2"), relayed}, Start + seconds(1));
    CHECK(sourceAt(Start + seconds(1)) == StoreSource{true, ""});
    CHECK(sourceAt(Start + EntryMembership::HeartbeatTimeout) == StoreSource{false, "a"});
    // A restarted host is another process.
    membership.suspect("a", Start + seconds(10));
    auto restarted = makeMember("a");
    restarted.incarnation = 2;
    membership.merge({restarted}, Start + seconds(10));
    CHECK(sourceAt(Start + seconds(10)) == StoreSource{false, "a"});
}

// Guards against a host whose source stands still and that then waits for another host which stands
// still as well.
TEST_CASE("a host whose source does not answer reads the store and not another peer")
{
    EntryMembership membership(makeMember("g"));
    for (const auto *peer : {"a", "b", "c", "d", "e", "f"})
        membership.merge({makeMember(peer)}, Start);
    CHECK(membership.storeSource(Start) == StoreSource{false, "a"});
    membership.suspect("a", Start);
    CHECK(membership.storeSource(Start) == StoreSource{true, ""});
    // Another peer does not matter.
    membership.suspect("b", Start + EntryMembership::HeartbeatTimeout);
    CHECK(membership.storeSource(Start + EntryMembership::HeartbeatTimeout)
          == StoreSource{false, "a"});
}

// Guards against hosts that forget where another one takes requests, or that it is cut from its
// upstreams, when a host of an earlier version relays its state.
TEST_CASE("a state that a host of an earlier version relays does not hide what the owner said")
{
    EntryMembership membership(makeMember("a"));
    auto complete = makeMember("b");
    complete.relay = "b:relay";
    complete.upstreamsUnreachable = true;
    complete.laterFields = "[1]";
    membership.merge({complete}, Start);
    auto partial = makeMember("b");
    partial.isPartial = true;
    partial.heartbeat = 5;
    partial.load = 3;
    membership.merge({makeMember("c"), partial}, Start);
    const auto stateOfB = [&] { return membership.liveMembers().at(1); };
    CHECK(stateOfB().heartbeat == 5);
    CHECK(stateOfB().load == 3);
    CHECK(stateOfB().relay == "b:relay");
    CHECK(stateOfB().upstreamsUnreachable);
    CHECK(stateOfB().laterFields == "[1]");
    CHECK_FALSE(stateOfB().isPartial);
    // A newer complete state that arrives behind a later partial one is not lost.
    complete.heartbeat = 4;
    complete.upstreamsUnreachable = false;
    CHECK(membership.merge({makeMember("c"), complete}, Start));
    CHECK_FALSE(stateOfB().upstreamsUnreachable);
    CHECK(stateOfB().heartbeat == 5);
    // What was said of an earlier incarnation does not hold for the next one.
    partial.incarnation = 2;
    membership.merge({makeMember("c"), partial}, Start);
    CHECK(stateOfB().relay.empty());
    CHECK(stateOfB().isPartial);
}

TEST_CASE("hosts with equal member states need only heartbeats to keep each other alive")
{
    // Guards against a digest that differs for equal states, and against heartbeats that mark a
    // dead host as live.
    EntryMembership a(makeMember("a"));
    EntryMembership b(makeMember("b"));
    a.merge({makeMember("b"), makeMember("c")}, Start);
    b.merge({makeMember("c"), makeMember("a")}, Start);
    CHECK(a.digest() == b.digest());
    b.advanceHeartbeat();
    CHECK(a.digest() == b.digest());
    a.merge(b.heartbeats(), Start + seconds(3));
    a.expire(Start + seconds(4));
    CHECK(namesOf(a.liveMembers()) == Names{"a", "b"});
    CHECK(a.digest() != b.digest());
    a.merge(b.heartbeats(), Start + seconds(5));
    CHECK(namesOf(a.liveMembers()) == Names{"a", "b"});
    b.setPhase(EntryPhase::Leaving);
    CHECK(a.merge({b.self()}, Start + seconds(5)));
}
