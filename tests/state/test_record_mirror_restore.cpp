#include "tests/state/restore_schedule.h"

#include <doctest/doctest.h>

using namespace persimmon::state;

// Guards against an older configuration, a server that has left or an evacuation that was ended
// being shown again after the store lost writes, and against records that are dropped meanwhile.
TEST_CASE("copies of a store that loses writes never go back and agree with it in the end")
{
    constexpr std::uint32_t FirstSeed = 20261204;
    constexpr std::uint32_t Schedules = 10'000;
    std::size_t unchecked = 0;
    for (std::uint32_t seed = FirstSeed; seed < FirstSeed + Schedules; ++seed) {
        test::RestoreSchedule schedule(seed);
        const auto fault = schedule.run();
        unchecked += schedule.uncheckedKeys();
        CHECK_MESSAGE(fault.empty(), "seed " << seed << ": " << fault);
    }
    MESSAGE("evacuations for which answers of peers were not checked in "
            << Schedules << " schedules: " << unchecked);
}
