#include "state/upstream_ramp.h"

#include "state/replica_set.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace persimmon;
using namespace persimmon::state;

TEST_CASE("the ramp resets when the upstream restarts or becomes slow")
{
    // Guards against full load on an upstream that has just become cold.
    using std::chrono::milliseconds;
    UpstreamRamp ramp(1, 4, 4, true);
    for (int i = 0; i < 30; ++i)
        ramp.onSuccess("a", milliseconds(2));
    CHECK(ramp.limit() == 4);
    ramp.onShed();
    CHECK(ramp.limit() == 2);
    ramp.onSuccess("b", milliseconds(2));
    CHECK(ramp.limit() == 2);
    for (int i = 0; i < 30; ++i)
        ramp.onSuccess("b", milliseconds(2));
    CHECK(ramp.limit() == 4);
    for (int i = 0; i < 3; ++i)
        ramp.onSuccess("b", milliseconds(100));
    CHECK(ramp.limit() == 1);
}

TEST_CASE("the combined limit of two owners stays within the capacity of a cold upstream")
{
    // Guards against two ramps that both count the shared warm-up. An upstream at limit L can
    // handle L + cold_limit executions; L increases by one after L successes.
    constexpr std::uint32_t Slots = 6;
    std::mt19937 random(1);
    for (int schedule = 0; schedule < 1000; ++schedule) {
        const std::uint32_t coldLimit = 1 + random() % 3;
        std::array<UpstreamRamp, 2> owners{
                UpstreamRamp(coldLimit, Slots, Slots, true),
                UpstreamRamp(coldLimit, slotShare(Slots, false), Slots, true)};
        std::uint32_t capacity = coldLimit;
        std::uint32_t round = 0;
        for (int success = 0; capacity < Slots; ++success) {
            CHECK(owners[0].limit() + owners[1].limit() <= capacity + coldLimit);
            owners.at(random() % 2).onSuccess("a", std::chrono::milliseconds(2));
            if (++round >= capacity)
                ++capacity, round = 0;
        }
    }
}

TEST_CASE("a new owner of a service restarts the warm-up at one execution")
{
    // Guards against overloading upstreams that restarted under another owner: the new owner had
    // nothing in flight and observed no lost connection, and executions of the previous owner and
    // of the next one in the ranking still run concurrently.
    constexpr std::uint32_t Slots = 3;
    constexpr std::uint32_t ColdLimit = 2;
    UpstreamRamp ramp(ColdLimit, slotShare(Slots, false), Slots, true);
    const auto succeed = [&ramp](std::uint32_t times) {
        for (std::uint32_t i = 0; i < times; ++i)
            ramp.onSuccess("a", std::chrono::milliseconds(2));
    };
    succeed(30);
    ramp.configure(ColdLimit, slotShare(Slots, true), Slots);
    CHECK(ramp.limit() == 1);
    succeed(ColdLimit - 1);
    CHECK(ramp.limit() == 1);
    succeed(1);
    CHECK(ramp.limit() == ColdLimit);
    succeed(ColdLimit);
    CHECK(ramp.limit() == Slots);
    // Applying the same share again must not reset the ramp.
    ramp.configure(ColdLimit, slotShare(Slots, true), Slots);
    CHECK(ramp.limit() == Slots);
}
