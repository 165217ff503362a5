#include "tests/soak/soak_run.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

using namespace persimmon::tests;

namespace {

/// Seeds that failed in the past; each has a comment with the fault that it found.
const std::vector<std::uint32_t> RegressionSeeds{};

std::uint32_t readNumber(const char *name, std::uint32_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue
                           : static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

void runSeed(std::uint32_t seed, const std::vector<FaultKind> &requiredKinds = {})
{
    SoakRun run(seed, requiredKinds);
    const auto violations = run.run();
    MESSAGE("seed " << seed << ": " << run.successCount() << " requests served, "
                    << violations.size() << " violations");
    for (const auto &line : violations)
        MESSAGE(line);
    if (!violations.empty())
        MESSAGE("plan:\n" << run.describeFaults());
    CHECK(violations.empty());
    CHECK(run.successCount() > 100);
}

} // namespace

// Guards against violated invariants under faults that overlap or follow one another.
// PERSIMMON_SOAK_SEED sets the first seed and PERSIMMON_SOAK_RUNS the number of seeds.
TEST_CASE("invariants hold while processes, connections and the store fail")
{
    const auto first = readNumber("PERSIMMON_SOAK_SEED", 1);
    const auto runs = readNumber("PERSIMMON_SOAK_RUNS", 3);
    for (auto seed = first; seed < first + runs; ++seed)
        runSeed(seed);
}

// Guards against hosts that keep or take back an older state after the store was restored, while
// other faults overlap. The same variables select the seeds.
TEST_CASE("invariants hold while the store is restored from older copies and other faults overlap")
{
    const auto first = readNumber("PERSIMMON_SOAK_SEED", 1);
    const auto runs = readNumber("PERSIMMON_SOAK_RUNS", 2);
    for (auto seed = first; seed < first + runs; ++seed)
        runSeed(seed, {FaultKind::StoreRestored, FaultKind::ConfigChanged});
}

// Guards against regressions of faults that earlier soak runs found.
TEST_CASE("invariants hold for seeds that failed in the past")
{
    for (const auto seed : RegressionSeeds)
        runSeed(seed);
}
