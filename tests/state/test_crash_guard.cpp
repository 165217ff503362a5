#include "state/state.h"

#include <doctest/doctest.h>

using namespace persimmon::state;
using std::chrono::milliseconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const TimePoint Settled = Start + CrashGuard::SettleTime;

std::string shard(int index)
{
    return "s" + std::to_string(index);
}

LostUpstream upstreamOf(int index, const std::string &name, bool repeated = false)
{
    return {shard(index), shard(index) + name, 1, repeated};
}

/// Loses one upstream of each of the first @p count shards at the same time.
void loseShards(CrashGuard &guard, int count)
{
    for (int i = 0; i < count; ++i)
        guard.onStarted(shard(i), {});
    for (int i = 0; i < count; ++i)
        guard.onLost(upstreamOf(i, "first"), Start);
}

} // namespace

// Guards against a gathered request that ends the second upstream of each shard as well.
TEST_CASE("after losses at many shards one retry is sent as a trial, and none after its loss")
{
    CrashGuard guard;
    loseShards(guard, 20);
    CHECK(guard.decide(shard(0), {}, Start) == AttemptPermission::Wait);
    CHECK(guard.settledAt() == Settled);
    CHECK(guard.decide(shard(0), {}, Settled) == AttemptPermission::Granted);
    CHECK(guard.isRepeated({}, Settled));
    guard.onStarted(shard(0), {});
    for (int i = 1; i < 20; ++i)
        CHECK(guard.decide(shard(i), {}, Settled) == AttemptPermission::Wait);
    guard.onLost(upstreamOf(0, "second", true), Settled);
    for (int i = 0; i < 20; ++i)
        CHECK(guard.decide(shard(i), {}, Settled + milliseconds(100))
              == AttemptPermission::Withheld);
    CHECK(guard.unansweredLosses().size() == 21);
}

// Guards against parts that are left out because many upstreams ended for another reason.
TEST_CASE("a request that did not cause the losses is retried at all shards")
{
    CrashGuard guard;
    loseShards(guard, 5);
    CHECK(guard.decide("not lost", {}, Start) == AttemptPermission::Granted);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(guard.decide(shard(i), {}, Settled) == AttemptPermission::Granted);
        guard.onStarted(shard(i), {});
        guard.onAnswered(shard(i));
    }
    CHECK(guard.lostUpstreams().size() == 5);
    CHECK(guard.unansweredLosses().empty());
}

// Guards against retries of a request that other hosts have seen crash upstreams.
TEST_CASE("losses in earlier client attempts count towards the limit")
{
    CrashGuard guard;
    const KnownCrashes known{CrashEvidence::CrashLimit - 1, true, true};
    CHECK(guard.decide(shard(0), known, Start) == AttemptPermission::Granted);
    CHECK(guard.isRepeated(known, Start));
    guard.onStarted(shard(0), known);
    guard.onLost(upstreamOf(0, "first", true), Start);
    CHECK(guard.decide(shard(0), known, Settled) == AttemptPermission::Withheld);
}

// Guards against a request that is withheld from all shards because many upstreams ended at once
// during its earlier client attempt.
TEST_CASE(
        "after simultaneous losses in an earlier client attempt the lost shards are tried in turn")
{
    CrashGuard guard;
    const KnownCrashes elsewhere{CrashEvidence::CrashLimit, false, false};
    const KnownCrashes here{CrashEvidence::CrashLimit, false, true};
    CHECK(guard.decide(shard(0), elsewhere, Start) == AttemptPermission::Granted);
    CHECK(guard.decide(shard(1), here, Start) == AttemptPermission::Granted);
    guard.onStarted(shard(1), here);
    CHECK(guard.decide(shard(2), here, Start) == AttemptPermission::Wait);
    guard.onAnswered(shard(1));
    CHECK(guard.decide(shard(2), here, Start) == AttemptPermission::Granted);
}

// Guards against a trial that never ends because its attempt was cancelled.
TEST_CASE("a trial that ends without a loss or an answer lets the next attempt run")
{
    CrashGuard guard;
    loseShards(guard, 3);
    guard.onStarted(shard(0), {});
    CHECK(guard.decide(shard(1), {}, Settled) == AttemptPermission::Wait);
    guard.onEnded(shard(0));
    CHECK(guard.decide(shard(1), {}, Settled) == AttemptPermission::Granted);
}
