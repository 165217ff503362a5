#include "state/state.h"

#include <doctest/doctest.h>

using namespace persimmon::state;

namespace {

std::string shard(int index)
{
    return "s" + std::to_string(index);
}

/// Loses one upstream of each of the first @p count shards.
void loseShards(CrashGuard &guard, int count)
{
    for (int i = 0; i < count; ++i)
        guard.onStarted(shard(i));
    for (int i = 0; i < count; ++i)
        guard.onLost({shard(i), "u" + std::to_string(i), 1});
}

} // namespace

// Guards against a gathered request that ends the second upstream of each shard as well.
TEST_CASE("after losses at many shards one retry is sent as a trial, and none after its loss")
{
    CrashGuard guard;
    loseShards(guard, 20);
    CHECK(guard.decide(shard(0), 0) == AttemptPermission::Granted);
    guard.onStarted(shard(0));
    for (int i = 1; i < 20; ++i)
        CHECK(guard.decide(shard(i), 0) == AttemptPermission::Wait);
    guard.onLost({shard(0), "other", 1});
    for (int i = 0; i < 20; ++i)
        CHECK(guard.decide(shard(i), 0) == AttemptPermission::Withheld);
    CHECK(guard.unansweredLosses().size() == 21);
}

// Guards against parts that are left out because many upstreams ended for another reason.
TEST_CASE("a request that did not cause the losses is retried at all shards")
{
    CrashGuard guard;
    loseShards(guard, 5);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(guard.decide(shard(i), 0) == AttemptPermission::Granted);
        guard.onStarted(shard(i));
        guard.onAnswered(shard(i));
    }
    CHECK(guard.lostUpstreams().size() == 5);
    CHECK(guard.unansweredLosses().empty());
}

// Guards against retries of a request that other hosts have seen crash upstreams.
TEST_CASE("losses in earlier client attempts count towards the limit")
{
    CrashGuard guard;
    const auto known = CrashEvidence::CrashLimit - 1;
    CHECK(guard.decide(shard(0), known) == AttemptPermission::Granted);
    guard.onStarted(shard(0));
    guard.onLost({shard(0), "u", 1});
    CHECK(guard.decide(shard(0), known) == AttemptPermission::Withheld);
    CHECK(guard.decide(shard(1), CrashEvidence::CrashLimit) == AttemptPermission::Withheld);
}

// Guards against a trial that never ends because its attempt was cancelled.
TEST_CASE("a trial that ends without a loss or an answer lets the next attempt run")
{
    CrashGuard guard;
    loseShards(guard, 3);
    guard.onStarted(shard(0));
    CHECK(guard.decide(shard(1), 0) == AttemptPermission::Wait);
    guard.onEnded(shard(0));
    CHECK(guard.decide(shard(1), 0) == AttemptPermission::Granted);
}
