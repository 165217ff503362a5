#include "state/replica_set.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::state;

TEST_CASE("a slow upstream is avoided after three attempts and used again once it recovers")
{
    // Guards against a selection that avoids a slow upstream only after hundreds of slow answers or
    // never detects its recovery.
    using std::chrono::milliseconds;
    ReplicaSet replicas;
    const protocol::HostRecord a{"a", protocol::HostKind::Upstream, "127.0.0.1:1", "d", "s"};
    const protocol::HostRecord b{"b", protocol::HostKind::Upstream, "127.0.0.1:2", "d", "s"};
    replicas.configure({{a, b}, 2, 2, 2, true, true});
    const auto execute = [&](const std::string &name, milliseconds latency, AttemptEnd end) {
        AttemptResult result;
        result.end = end;
        replicas.onStarted(name);
        replicas.onEnded(name, result, 1, latency, TimePoint{});
    };
    ReplicaSet::Purpose probing;
    probing.mayProbe = true;
    const auto choose = [&] { return replicas.choose(1, {}, TimePoint{}, probing).upstream.name; };
    for (int i = 0; i < 200; ++i)
        execute(i % 2 == 0 ? "a" : "b", milliseconds(i % 2 == 0 ? 5 : 6), AttemptEnd::Answered);
    CHECK(choose() == "a");
    for (int i = 0; i < 3; ++i)
        execute("a", milliseconds(13), AttemptEnd::Cancelled);
    CHECK(choose() == "b");
    replicas.onStarted("b");
    CHECK(choose() == "b");
    for (std::uint32_t i = 0; i < ReplicaSet::ProbeInterval; ++i)
        execute("b", milliseconds(6), AttemptEnd::Answered);
    CHECK(choose() == "a");
    execute("a", milliseconds(4), AttemptEnd::Answered);
    CHECK(choose() == "a");
}

TEST_CASE("an idle upstream receives one request before it counts as warm")
{
    // Guards against a burst at the former limit to an upstream that restarted while idle, which
    // would overload it while cold.
    using std::chrono::milliseconds;
    ReplicaSet replicas;
    const protocol::HostRecord a{"a", protocol::HostKind::Upstream, "127.0.0.1:1", "d", "s"};
    replicas.configure({{a}, 3, 3, 1, true, true});
    TimePoint now{std::chrono::hours(1)};
    const auto answer = [&](const std::string &incarnation) {
        AttemptResult result;
        result.end = AttemptEnd::Answered;
        result.incarnation = incarnation;
        replicas.onEnded("a", result, 1, milliseconds(5), now);
    };
    const auto isFound = [&] {
        return replicas.choose(1, {}, now).availability == ReplicaSet::Availability::Found;
    };
    for (int i = 0; i < 20; ++i) {
        replicas.onStarted("a", now);
        now += milliseconds(5);
        answer("first");
    }
    for (const auto *incarnation : {"first", "second"}) {
        now += std::chrono::seconds(1);
        replicas.onStarted("a", now);
        CHECK_FALSE(isFound());
        now += milliseconds(5);
        answer(incarnation);
        replicas.onStarted("a", now);
        replicas.onStarted("a", now);
        // The same incarnation is still warm; a new one has only one success since its cold start.
        CHECK(isFound() == (std::string(incarnation) == "first"));
        answer(incarnation);
        answer(incarnation);
    }
}
