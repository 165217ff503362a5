#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr std::uint64_t Guilty = 7;

/// @return upstreams @p first to @p last of one service, all but the first lost after others.
std::vector<LostUpstream> upstreams(int first, int last, const std::string &service = "s")
{
    std::vector<LostUpstream> lost;
    for (int i = first; i <= last; ++i)
        lost.push_back({service, "u" + std::to_string(i), 1, i > 1});
    return lost;
}

/// Sends the reports of one host to another.
void deliver(CrashEvidence &from, CrashEvidence &to, TimePoint now, bool all = true)
{
    to.merge(from.select(now, all), now);
}

bool isQuarantined(const CrashEvidence &evidence, TimePoint now)
{
    return evidence.quarantineTimeLeft(Guilty, now).has_value();
}

} // namespace

// Guards against a limit that each host applies to the crashes that it has seen itself.
TEST_CASE("crashes that different hosts have seen add up to a quarantine")
{
    CrashEvidence first;
    CrashEvidence second;
    CrashEvidence third;
    CHECK_FALSE(first.onLost(Guilty, upstreams(1, 1), Start));
    CHECK_FALSE(second.onLost(Guilty, upstreams(2, 2), Start));
    deliver(first, second, Start);
    CHECK_FALSE(isQuarantined(second, Start));
    CHECK_FALSE(third.onLost(Guilty, upstreams(3, 3), Start));
    deliver(second, third, Start);
    CHECK(isQuarantined(third, Start));
    deliver(third, first, Start);
    CHECK(isQuarantined(first, Start));
}

// Guards against the quarantine of requests at a single upstream that closes connections.
TEST_CASE("losses of one incarnation count once, those of a restarted upstream again")
{
    CrashEvidence evidence;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(evidence.onLost(Guilty, upstreams(1, 1), Start));
    CHECK(evidence.crashCount(Guilty) == 1);
    CHECK_FALSE(evidence.onLost(Guilty, {{"s", "u1", 2, true}}, Start));
    CHECK(evidence.onLost(Guilty, {{"s", "u1", 3, true}}, Start));
}

// Guards against the quarantine of requests that were under way when many upstreams ended at once.
TEST_CASE("losses at the same time quarantine a request only if another one follows")
{
    CrashEvidence evidence;
    std::vector<LostUpstream> lost;
    for (int i = 1; i <= 20; ++i)
        lost.push_back({"s" + std::to_string(i), "u" + std::to_string(i), 1, false});
    CHECK_FALSE(evidence.onLost(Guilty, lost, Start));
    CHECK(evidence.knownCrashes(Guilty, "s1").inService);
    CHECK_FALSE(evidence.knownCrashes(Guilty, "other").inService);
    CHECK(evidence.onLost(Guilty, {{"s1", "next", 1, true}}, Start));
}

// Guards against counts that grow because reports are delivered twice or by way of another host.
TEST_CASE("repeated and reordered deliveries do not change the number of crashes")
{
    std::mt19937 random(1);
    for (int schedule = 0; schedule < 200; ++schedule) {
        std::vector<CrashEvidence> hosts(4);
        int losses = 0;
        for (int step = 0; step < 40; ++step) {
            if (random() % 20 == 0) {
                ++losses;
                hosts[random() % hosts.size()].onLost(Guilty, upstreams(losses, losses), Start);
            }
            deliver(hosts[random() % hosts.size()], hosts[random() % hosts.size()], Start,
                    random() % 2 == 0);
        }
        for (int round = 0; round < 2; ++round) {
            for (auto &from : hosts) {
                for (auto &to : hosts)
                    deliver(from, to, Start);
            }
        }
        for (const auto &host : hosts) {
            CHECK(host.crashCount(Guilty) == static_cast<std::size_t>(losses));
            CHECK(isQuarantined(host, Start) == (losses >= 3));
        }
    }
}

// Guards against the quarantine of a request that ran beside a crashing one and was answered later.
TEST_CASE("an answer of a service clears its crashes on all hosts")
{
    CrashEvidence first;
    CrashEvidence second;
    first.onLost(Guilty, upstreams(1, 2), Start);
    first.onLost(Guilty, upstreams(10, 10, "other"), Start);
    deliver(first, second, Start);
    CHECK(isQuarantined(second, Start));
    first.onAnswered(Guilty, "s", Start);
    CHECK(first.crashCount(Guilty) == 1);
    deliver(first, second, Start);
    CHECK_FALSE(isQuarantined(second, Start));
    // A peer that has not heard of the answer does not undo it.
    CrashEvidence late;
    late.onLost(Guilty, upstreams(1, 2), Start);
    deliver(late, second, Start);
    CHECK(second.crashCount(Guilty) == 1);
}

// Guards against the quarantine of a frequent request by reports that arrive together after it was
// served again.
TEST_CASE("reports on a request that this host has just served do not count")
{
    CrashEvidence peer;
    CrashEvidence evidence;
    peer.onLost(Guilty, upstreams(1, 3), Start);
    evidence.onServed(Guilty, Start);
    deliver(peer, evidence, Start + seconds(1));
    CHECK_FALSE(isQuarantined(evidence, Start + seconds(1)));
    deliver(evidence, peer, Start + seconds(1));
    CHECK_FALSE(isQuarantined(peer, Start + seconds(1)));
    CrashEvidence late;
    late.onServed(Guilty, Start);
    late.expire(Start + CrashEvidence::ServedTime);
    CHECK(late.onLost(Guilty, upstreams(1, 3), Start + CrashEvidence::ServedTime));
}

// Guards against answers before the first crash that outweigh the crashes.
TEST_CASE("a request that was answered before crashes like any other")
{
    CrashEvidence evidence;
    for (int i = 0; i < 10; ++i)
        evidence.onAnswered(Guilty, "s", Start);
    CHECK(evidence.fingerprintCount() == 0);
    CHECK(evidence.onLost(Guilty, upstreams(1, 3), Start));
}

// Guards against a restarted host that sends the request again while its peers know it.
TEST_CASE("a host that restarts learns all crashes from one peer, its own included")
{
    CrashEvidence peer;
    CrashEvidence before;
    before.onLost(Guilty, upstreams(1, 2), Start);
    deliver(before, peer, Start);
    peer.onLost(Guilty, upstreams(3, 3), Start);
    CrashEvidence after;
    deliver(peer, after, Start + minutes(1));
    CHECK(isQuarantined(after, Start + minutes(1)));
}

// Guards against reports that hosts return to each other and that therefore never expire.
TEST_CASE("crash reports expire on all hosts although hosts keep exchanging them")
{
    CrashEvidence first;
    CrashEvidence second;
    first.onLost(Guilty, upstreams(1, 3), Start);
    auto now = Start;
    const auto end = Start + CrashEvidence::QuarantineTime + seconds(10);
    for (; now < end; now += seconds(5)) {
        deliver(first, second, now);
        deliver(second, first, now);
        first.expire(now);
        second.expire(now);
        if (now < Start + CrashEvidence::QuarantineTime)
            REQUIRE(isQuarantined(second, now));
    }
    CHECK(first.fingerprintCount() == 0);
    CHECK(second.fingerprintCount() == 0);
    CHECK(first.select(now, true).empty());
}

// Guards against memory and messages that grow with the number of requests under which an upstream
// ended.
TEST_CASE("the number of suspected fingerprints is bounded and quarantines are kept longest")
{
    CrashEvidence evidence;
    evidence.onLost(Guilty, upstreams(1, 3), Start);
    for (std::uint64_t other = 0; other < 2 * CrashEvidence::Capacity; ++other)
        evidence.onLost(1000 + other, upstreams(1, 1), Start + seconds(1));
    CHECK(evidence.fingerprintCount() <= CrashEvidence::Capacity);
    CHECK(isQuarantined(evidence, Start + seconds(1)));
}
