#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using namespace std::chrono_literals;

namespace {

const ViewStore::TimePoint Start{1h};

protocol::ConfigEntry outDomains(std::uint64_t revision, const std::string &value)
{
    return {"out/domains", revision, value};
}

/// Model of a configuration service whose replies may come from a stale replica.
class History
{
public:
    void append(std::mt19937_64 &random)
    {
        static const std::array<std::optional<std::string>, 5> values{
                R"(["a"])", R"(["a","b"])", R"([])", std::nullopt, R"({"invalid":1})"};
        const auto *key = random() % 2 == 0 ? "out/domains" : "out/hosts";
        entries_.push_back({key, entries_.size() + 1, values[random() % values.size()]});
    }

    protocol::ConfigResponse read(std::uint64_t since, std::uint64_t revision) const
    {
        std::map<std::string, protocol::ConfigEntry> newest;
        for (std::uint64_t i = 0; i < revision; ++i)
            newest[entries_[i].key] = entries_[i];
        protocol::ConfigResponse reply{revision, {}};
        for (const auto &[key, entry] : newest) {
            if (entry.revision > since)
                reply.entries.push_back(entry);
        }
        return reply;
    }

    std::uint64_t revision() const { return entries_.size(); }

private:
    std::vector<protocol::ConfigEntry> entries_;
};

void exchange(ViewStore &requester, ViewStore &responder, ViewStore::TimePoint now)
{
    const auto request = requester.makeRequest(now);
    responder.applyRequest(request, now);
    requester.applyReply(responder.makeReply(request, now), now, now);
}

std::map<std::string, std::uint64_t> revisionsInEffect(const ViewStore &store)
{
    std::map<std::string, std::uint64_t> revisions;
    for (const auto &entry : store.config().entriesInEffect())
        revisions[entry.key] = entry.revision;
    return revisions;
}

/// Runs one random schedule of edits, reads (some stale) and exchanges.
void runSchedule(std::uint64_t seed)
{
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    History history;
    std::vector<ViewStore> stores;
    for (int i = 0; i < 4; ++i)
        stores.emplace_back("h" + std::to_string(i));
    auto now = Start;
    const auto pick = [&]() -> ViewStore & { return stores[random() % stores.size()]; };
    for (int step = 0; step < 60; ++step, now += 200ms) {
        auto &store = pick();
        const auto before = revisionsInEffect(store);
        const auto action = random() % 4;
        if (action == 0)
            history.append(random);
        else if (action == 1)
            store.applyConfig(
                    history.read(store.config().revision(), random() % (history.revision() + 1)),
                    now);
        else
            exchange(store, pick(), now);
        for (const auto &[key, revision] : revisionsInEffect(store))
            REQUIRE((!before.contains(key) || before.at(key) <= revision));
    }
    for (auto &store : stores)
        store.applyConfig(history.read(store.config().revision(), history.revision()), now);
    for (auto &requester : stores) {
        for (auto &responder : stores)
            exchange(requester, responder, now);
    }
    for (auto &store : stores) {
        REQUIRE(store.config().revision() == history.revision());
        REQUIRE(store.config().digest() == stores[0].config().digest());
        REQUIRE(store.view()->outDomains == stores[0].view()->outDomains);
        REQUIRE(store.view()->outHosts == stores[0].view()->outHosts);
    }
}

} // namespace

// Guards against merges that depend on the order of exchanges, and against values that revert.
TEST_CASE("stores converge and no value reverts in any schedule of edits, reads and exchanges")
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
        runSchedule(seed);
    MESSAGE("seeds 1 to 2000");
}

// Guards against an invalid edit that disables its key, also on a host that starts after the edit,
// when only peers still have the valid value.
TEST_CASE("an invalid value is reported and the last valid value stays in effect")
{
    ViewStore store("h1");
    store.applyConfig({1, {outDomains(1, R"(["a"])")}}, Start);
    const auto update = store.applyConfig({2, {outDomains(2, R"({"b":1})")}}, Start);
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes[0].fault);
    CHECK(update.changes[0].revisionBefore == 1);
    CHECK(store.view()->outDomains.contains("a"));

    ViewStore late("h2");
    late.applyConfig({2, {outDomains(2, R"({"b":1})")}}, Start);
    exchange(late, store, Start);
    exchange(late, store, Start);
    CHECK(late.view()->outDomains.contains("a"));

    CHECK_FALSE(store.applyConfig({3, {outDomains(3, R"(["c"])")}}, Start).changes[0].fault);
    CHECK(store.view()->outDomains == std::set<std::string, std::less<>>{"c"});
}

// Guards against a stale replica of the service whose reply reverts or confirms a newer view.
TEST_CASE("stale replies neither change nor confirm the view")
{
    ViewStore store("h1");
    protocol::HostRecord host{"h1", protocol::HostKind::Entry, "127.0.1.1", "a", "", {}};
    store.applyConfig({5, {outDomains(5, R"(["a"])")}}, Start);
    store.applyHosts({7, std::vector{host}}, Start);
    CHECK_FALSE(store.applyConfig({4, {outDomains(4, R"([])")}}, Start + 10s).changed);
    CHECK_FALSE(store.applyHosts({6, std::vector<protocol::HostRecord>{}}, Start + 10s).changed);
    CHECK(store.view()->entryHosts.size() == 1);
    CHECK(store.view()->outDomains.contains("a"));
    CHECK(store.confirmedAge(Start + 10s) == 10s);
}

// Guards against sending the whole host list after each change, and against a delta of a sender
// that missed a record which changed and changed back between two of its reads.
TEST_CASE("host lists are sent as deltas, and whole after a delta that does not match")
{
    const auto makeHosts = [](std::size_t count) {
        std::vector<protocol::HostRecord> hosts;
        for (std::size_t i = 0; i < count; ++i)
            hosts.push_back({"h" + std::to_string(i), protocol::HostKind::Entry, "a", "d", "", {}});
        return hosts;
    };
    ViewStore sender("h1");
    ViewStore receiver("h2");
    auto changed = makeHosts(3);
    changed[0].state = protocol::HostState::Leaving;
    sender.applyHosts({1, makeHosts(3)}, Start);
    exchange(receiver, sender, Start);
    sender.applyHosts({2, std::vector(changed.begin(), changed.begin() + 2)}, Start);
    const auto reply = sender.makeReply(receiver.makeRequest(Start), Start);
    CHECK_FALSE(reply.hosts);
    REQUIRE(reply.hostsDelta);
    CHECK(reply.hostsDelta->changed == std::vector{changed[0]});
    CHECK(reply.hostsDelta->removed == std::vector<std::string>{"h2"});
    receiver.applyReply(reply, Start, Start);
    CHECK(receiver.view()->entryHosts == sender.view()->entryHosts);

    // Views that are in use must neither be rebuilt by a configuration change nor changed by a new
    // host list.
    const auto heldView = receiver.view();
    receiver.applyConfig({1, {outDomains(1, R"(["a"])")}}, Start);
    CHECK(&receiver.view()->entryHosts.at("h0") == &heldView->entryHosts.at("h0"));
    receiver.applyHosts({3, makeHosts(9)}, Start);
    CHECK(receiver.view()->entryHosts.size() == 9);
    CHECK(heldView->entryHosts.size() == 2);
    sender.applyHosts({4, std::vector(changed.begin(), changed.begin() + 2)}, Start);
    exchange(receiver, sender, Start);
    CHECK(receiver.hostsRevision() == 3);
    exchange(receiver, sender, Start);
    CHECK(receiver.hostsRevision() == 4);
    CHECK(receiver.view()->entryHosts == sender.view()->entryHosts);
}

// Guards against new epochs that are included in each message for long, which causes 17 KB/s at
// 2,400 hosts, and against a new incarnation that propagates as slowly as an epoch.
TEST_CASE("a new epoch is propagated for a shorter time than a new incarnation")
{
    const auto isPropagated = [](const protocol::EntryIncarnation &entry, auto age) {
        ViewStore store("h1");
        // The rotation selects two of these entries for each message, in the order of names.
        for (const auto *host : {"a", "b", "c", "h2"})
            store.addIncarnation({host, 1, 1, 1}, Start - 1min);
        store.addIncarnation(entry, Start);
        const auto entries = store.makeRequest(Start + age).incarnations;
        return std::find(entries.begin(), entries.end(), entry) != entries.end();
    };
    CHECK(isPropagated({"h2", 1, 2, 2}, 1s));
    CHECK_FALSE(isPropagated({"h2", 1, 2, 2}, 3s));
    CHECK(isPropagated({"h2", 2, 1, 2}, 9s));
}

// Guards against entries whose expiry is postponed by each exchange, and against a restarted host
// that stays marked as leaving.
TEST_CASE("quarantine and leaving entries propagate, expire on all hosts and end on restart")
{
    ViewStore first("h1");
    ViewStore second("h2");
    first.addQuarantine(77, 20s, Start);
    first.addLeaving("h1", 5, 20s, Start);
    first.addIncarnation({"h1", 5, 1, 1}, Start);
    exchange(second, first, Start);
    CHECK(second.view()->quarantined.contains(77));
    CHECK(second.view()->leavingHosts.contains("h1"));
    first.addIncarnation({"h1", 6, 1, 2}, Start);
    exchange(first, second, Start);
    CHECK_FALSE(second.view()->leavingHosts.contains("h1"));
    CHECK_FALSE(second.addIncarnation({"h1", 5, 1, 1}, Start).changed);
    for (auto now = Start; now < Start + 22s; now += 100ms) {
        // Each message takes 50 ms.
        const auto request = second.makeRequest(now);
        first.applyRequest(request, now + 50ms);
        second.applyReply(first.makeReply(request, now + 50ms), now, now + 100ms);
        first.expire(now + 100ms);
        second.expire(now + 100ms);
    }
    CHECK(first.view()->quarantined.empty());
    CHECK(second.view()->quarantined.empty());
}
