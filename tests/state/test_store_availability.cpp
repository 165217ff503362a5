#include "state/state.h"

#include <doctest/doctest.h>

#include <array>

using namespace persimmon::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr milliseconds Wait{1000};
constexpr milliseconds None{0};

TimePoint at(int ms)
{
    return Start + milliseconds(ms);
}

} // namespace

TEST_CASE("the store answers without an outage while calls follow each other closely")
{
    StoreAvailability store;
    CHECK_FALSE(store.period());
    // A call that the store holds covers the time until its answer.
    for (int ms = 0; ms < 30'000; ms += 1700)
        CHECK_FALSE(store.onAnswer(1, at(ms), Wait, at(ms + 1600)));
    CHECK(store.period()->since == at(0));
    CHECK_FALSE(store.outageEnd());
}

// Guards against registrations that expired during an outage and are taken for upstreams that left.
TEST_CASE("an outage in which registrations expire ends with the next answer")
{
    StoreAvailability store;
    store.merge({1, at(0), at(10'000)});
    store.onFailure(at(11'200));
    store.onFailure(at(12'300));
    CHECK(store.onAnswer(1, at(12'401), None, at(12'405)));
    CHECK(store.outageEnd() == at(12'401));
    CHECK(store.period() == AnsweringPeriod{1, at(12'401), at(12'405), at(10'000)});
    CHECK_FALSE(store.failing());
    CHECK_FALSE(store.onAnswer(1, at(12'500), Wait, at(13'500)));
    CHECK(store.outageEnd() == at(12'401));
}

// Guards against hosts that take the silence of all hosts that read the store for its outage.
TEST_CASE("a time without answers is no outage unless calls fail all the while")
{
    StoreAvailability silent;
    silent.merge({1, at(0), at(10'000)});
    CHECK(silent.onAnswer(1, at(14'000), None, at(14'004)));
    CHECK_FALSE(silent.outageEnd());

    // The first call of the next host fails for a reason of its own.
    StoreAvailability retried;
    retried.merge({1, at(0), at(10'000)});
    retried.onFailure(at(13'000));
    CHECK(retried.onAnswer(1, at(13'200), None, at(13'204)));
    CHECK_FALSE(retried.outageEnd());
}

// Guards against a store that turns away a host for some time before all others stand still.
TEST_CASE("failures before the last known answer show no outage")
{
    StoreAvailability store;
    store.merge({1, at(0), at(1000)});
    store.onFailure(at(2000));
    store.merge({1, at(0), at(10'000)});
    CHECK_FALSE(store.failing());
    store.merge(FailingSpan{at(3000), at(10'500)});
    CHECK(store.failing() == FailingSpan{at(10'000), at(10'500)});
    store.merge({1, at(14'000), at(14'100)});
    CHECK_FALSE(store.outageEnd());
}

// Guards against a host that is answered first after an outage, before it has called in vain.
TEST_CASE("failures of peers show an outage to a host that is answered at once")
{
    StoreAvailability store;
    store.merge({1, at(0), at(10'000)});
    store.merge(FailingSpan{at(11'800), at(13'000)});
    CHECK(store.onAnswer(1, at(14'000), None, at(14'004)));
    CHECK(store.outageEnd() == at(14'000));
}

// Guards against hosts that learn of an outage from a peer after another one that does not know.
TEST_CASE("an outage that one of two peers knows of counts")
{
    const AnsweringPeriod unaware{1, at(14'000), at(14'100)};
    const AnsweringPeriod aware{1, at(14'500), at(14'600), at(10'000)};
    for (const auto &order : {std::array{unaware, aware}, std::array{aware, unaware}}) {
        StoreAvailability store;
        store.merge({1, at(0), at(9900)});
        for (const auto &period : order)
            store.merge(period);
        CHECK(store.period() == AnsweringPeriod{1, at(14'000), at(14'600), at(10'000)});
    }
}

// Guards against a host whose own path to the store was interrupted and that takes this for an
// outage.
TEST_CASE("answers to peers show that the store had no outage")
{
    StoreAvailability store;
    store.merge({1, at(0), at(10'000)});
    store.onFailure(at(11'800));
    store.onFailure(at(15'000));
    CHECK(store.onAnswer(1, at(16'000), None, at(16'004)));
    CHECK(store.outageEnd() == at(16'000));
    store.merge({1, at(0), at(15'500)});
    CHECK_FALSE(store.outageEnd());
    CHECK(store.period() == AnsweringPeriod{1, at(0), at(16'004)});
}

// Guards against a host that finds out late that the store turns away those that read it.
TEST_CASE("a peer that is answered soon after the last answer shows that there was no outage")
{
    StoreAvailability store;
    store.merge({1, at(0), at(10'000)});
    store.onFailure(at(11'000));
    CHECK(store.onAnswer(1, at(12'900), None, at(12'904)));
    CHECK(store.outageEnd() == at(12'900));
    store.merge({1, at(12'000), at(12'950)});
    CHECK_FALSE(store.outageEnd());
}

// Guards against old news of a host that stood still during an outage.
TEST_CASE("a period that ended before an outage does not hide the outage")
{
    StoreAvailability store;
    const AnsweringPeriod after{1, at(20'000), at(20'000), at(10'100)};
    store.merge(after);
    store.merge({1, at(0), at(10'000)});
    CHECK(store.period() == after);
}

// Guards against a process that stood still during an outage and then reads an answer from before.
TEST_CASE("an answer that is read late does not cover the time in between")
{
    StoreAvailability store;
    store.onAnswer(1, at(0), Wait, at(1000));
    CHECK_FALSE(store.onAnswer(1, at(1100), Wait, at(6000)));
    CHECK(store.period() == AnsweringPeriod{1, at(0), at(1100)});
    CHECK(store.onAnswer(1, at(6120), None, at(6125)));
}

// Guards against the copy from which a store is restored, which may lack registrations although the
// store was away for a moment only.
TEST_CASE("a new era of the store counts as an outage")
{
    StoreAvailability store;
    store.merge({1, at(0), at(10'000)});
    CHECK(store.onAnswer(2, at(10'500), None, at(10'504)));
    store.merge({1, at(0), at(10'400)});
    CHECK(store.period() == AnsweringPeriod{2, at(10'500), at(10'504), at(10'000)});
}

TEST_CASE("merged periods do not depend on the order")
{
    const AnsweringPeriod first{1, at(0), at(4000)};
    const AnsweringPeriod second{1, at(6000), at(9000)};
    const AnsweringPeriod third{1, at(20'000), at(21'000), at(9000)};
    for (const auto &order : {std::array{first, second, third}, std::array{third, second, first},
                              std::array{second, third, first}}) {
        StoreAvailability store;
        for (const auto &period : order)
            store.merge(period);
        CHECK(store.period() == third);
    }
}

TEST_CASE("nothing is known after a reset")
{
    StoreAvailability store;
    store.onFailure(at(9000));
    store.merge({1, at(0), at(10'000)});
    store.onFailure(at(11'000));
    store.reset();
    CHECK_FALSE(store.period());
    CHECK_FALSE(store.failing());
    CHECK_FALSE(store.ownAnswerAt());
    CHECK(store.onAnswer(1, at(20'000), None, at(20'004)) == false);
    CHECK_FALSE(store.outageEnd());
}
