#include "state/state.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a cold upstream gets no more than its rate in any window")
{
    // Guards against a limit that holds only for windows that begin at full seconds.
    std::mt19937 random(7);
    for (int schedule = 0; schedule < 1000; ++schedule) {
        const std::uint32_t rate = 1 + random() % 5;
        ColdRate cold;
        cold.configure(Start + seconds(10), rate);
        std::deque<TimePoint> starts;
        for (auto now = Start; now < Start + seconds(6); now += milliseconds(1 + random() % 200)) {
            if (!cold.mayStart(now))
                continue;
            cold.onStarted(now);
            starts.push_back(now);
            while (now - starts.front() >= ColdRate::Window)
                starts.pop_front();
            CHECK(starts.size() <= rate);
        }
    }
}

TEST_CASE("work that a cold upstream holds back is told when to try again")
{
    // Guards against work that waits forever because nothing wakes its queue.
    ColdRate cold;
    cold.configure(Start + seconds(10), 2);
    cold.onStarted(Start);
    cold.onStarted(Start + milliseconds(100));
    REQUIRE(cold.nextStart(Start + milliseconds(200)));
    CHECK(*cold.nextStart(Start + milliseconds(200)) == Start + ColdRate::Window);
    CHECK(cold.mayStart(Start + ColdRate::Window));
    // A host without a part of the rate waits until the upstream is warm.
    ColdRate none;
    none.configure(Start + seconds(3), 0);
    CHECK(none.nextStart(Start) == Start + seconds(3));
    CHECK(none.mayStart(Start + seconds(3)));
}

TEST_CASE("an upstream that could not be reached counts as cold when it answers again")
{
    // Guards against the full load on an upstream that restarted before any list told of it.
    ColdRate cold;
    cold.configure({}, 1);
    CHECK_FALSE(cold.isCold(Start));
    cold.suspectRestart(Start);
    CHECK(cold.isCold(Start + seconds(1)));
    cold.confirmWarmUp(Start + seconds(4));
    CHECK(cold.isCold(Start + seconds(3)));
    CHECK_FALSE(cold.isCold(Start + seconds(4)));
    // A suspicion that no answer confirms ends by itself, so that no upstream is lost for good.
    cold.suspectRestart(Start + seconds(5));
    CHECK_FALSE(cold.isCold(Start + seconds(5) + ColdRate::SuspicionTime));
}

TEST_CASE("the parts of a limit add up to it")
{
    // Guards against hosts that together exceed a limit, or leave a part of it to nobody.
    for (std::uint32_t total = 0; total < 40; ++total) {
        for (std::uint32_t hosts = 1; hosts < 70; ++hosts) {
            std::uint32_t sum = 0;
            for (std::uint32_t position = 0; position < hosts; ++position)
                sum += partOfLimit(total, hosts, position);
            CHECK(sum == total);
        }
    }
}
