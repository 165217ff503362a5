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

TEST_CASE("requests to a cold upstream stay within its rate limit in every window")
{
    // Guards against a limit that holds only in windows that start at full seconds.
    std::mt19937 random(7);
    for (int schedule = 0; schedule < 1000; ++schedule) {
        const std::uint32_t rate = 1 + random() % 5;
        ColdStartLimiter cold;
        cold.configure(Start + seconds(10), rate);
        std::deque<TimePoint> starts;
        for (auto now = Start; now < Start + seconds(6); now += milliseconds(1 + random() % 200)) {
            if (!cold.mayStart(now))
                continue;
            cold.onStarted(now);
            starts.push_back(now);
            while (now - starts.front() >= ColdStartLimiter::Window)
                starts.pop_front();
            CHECK(starts.size() <= rate);
        }
    }
}

TEST_CASE("the limiter returns the time of the next permitted start")
{
    // Guards against queued work that is never started.
    ColdStartLimiter cold;
    cold.configure(Start + seconds(10), 2);
    cold.onStarted(Start);
    cold.onStarted(Start + milliseconds(100));
    REQUIRE(cold.nextStart(Start + milliseconds(200)));
    CHECK(*cold.nextStart(Start + milliseconds(200)) == Start + ColdStartLimiter::Window);
    CHECK(cold.mayStart(Start + ColdStartLimiter::Window));
    // A host whose share of the limit is 0 waits until the upstream is warm.
    ColdStartLimiter none;
    none.configure(Start + seconds(3), 0);
    CHECK(none.nextStart(Start) == Start + seconds(3));
    CHECK(none.mayStart(Start + seconds(3)));
}

TEST_CASE("an upstream counts as cold when it answers again after it was unreachable")
{
    // Guards against full load on an upstream whose restart is not in the service list yet.
    ColdStartLimiter cold;
    cold.configure({}, 1);
    CHECK_FALSE(cold.isCold(Start));
    cold.onPossibleRestart(Start);
    CHECK(cold.isCold(Start + seconds(1)));
    cold.onRestartConfirmed(Start + seconds(4));
    CHECK(cold.isCold(Start + seconds(3)));
    CHECK_FALSE(cold.isCold(Start + seconds(4)));
    // A possible restart that no answer confirms expires, so that no upstream is limited forever.
    cold.onPossibleRestart(Start + seconds(5));
    CHECK_FALSE(cold.isCold(Start + seconds(5) + ColdStartLimiter::PossibleRestartTime));
}

TEST_CASE("the shares of a limit add up to the limit")
{
    // Guards against hosts that together exceed a limit or leave part of it unused.
    for (std::uint32_t total = 0; total < 40; ++total) {
        for (std::uint32_t hosts = 1; hosts < 70; ++hosts) {
            std::uint32_t sum = 0;
            for (std::uint32_t position = 0; position < hosts; ++position)
                sum += limitShare(total, hosts, position);
            CHECK(sum == total);
        }
    }
}
