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

// Guards against an upstream that has left and is in use again because a host started between the
// restore of the store and the reconciliation, and read the store before its peers.
TEST_CASE("a copy that starts after a restore does not show what its peers know to have left")
{
    RecordMirror copy;
    copy.applySnapshot({{"config", 9, "9"}, {"server", 50, "5"}}, {1, 60});
    copy.reconcile();
    copy.apply({{"server", 63, std::nullopt}}, {1, 64});
    copy.applySnapshot({{"config", 9, "9"}, {"server", 50, "5"}}, {2, 62});
    RecordMirror fresh;
    fresh.applySnapshot({{"config", 9, "9"}, {"server", 50, "5"}}, {2, 62});
    copy.apply({{"config", 63, "10"}}, {2, 63});
    fresh.apply(copy.deltaSince(fresh.position()));
    CHECK(fresh.position() == copy.position());
    CHECK(fresh.records() == copy.records());
}

// Guards against an upstream that is not used because a host started between the restore of the
// store, which lost its registration, and its next one.
TEST_CASE("a copy that starts after a restore shows what its peers know and the store has lost")
{
    RecordMirror copy;
    copy.applySnapshot({{"config", 9, "9"}}, {1, 60});
    copy.reconcile();
    copy.apply({{"server", 63, "5"}}, {1, 64});
    copy.applySnapshot({{"config", 9, "9"}}, {2, 62});
    RecordMirror fresh;
    fresh.applySnapshot({{"config", 9, "9"}}, {2, 62});
    copy.apply({{"config", 63, "10"}}, {2, 63});
    fresh.apply(copy.deltaSince(fresh.position()));
    CHECK(fresh.records() == copy.records());
    fresh.reconcile();
    CHECK(fresh.records().size() == 1);
}
