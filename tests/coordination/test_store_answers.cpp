#include "coordination/coordination.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::coordination;
using std::chrono::milliseconds;

namespace {

state::TimePoint at(int ms)
{
    return state::TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

/// @return what a host knows after an outage that ended at 14,000 ms.
state::StoreAvailability afterOutage()
{
    state::StoreAvailability store;
    store.merge({1, at(0), at(10'000)});
    store.merge(state::FailingSpan{at(11'000), at(13'900)});
    store.merge({1, at(14'000), at(14'500)});
    return store;
}

} // namespace

TEST_CASE("a host knows after a message what the sender knew of the store")
{
    const auto sender = afterOutage();
    state::StoreAvailability receiver;
    const auto ages = toAges(sender, at(15'000));
    REQUIRE(ages);
    mergeAges(*ages, at(15'000), at(15'000), receiver);
    CHECK(receiver.period() == sender.period());
    CHECK(receiver.outageEnd() == at(14'000));
    CHECK_FALSE(toAges(state::StoreAvailability(), at(15'000)));
}

// Guards against a host that claims an answer, or a failure, at a time at which none is known,
// since it has stood still before it reads the reply.
TEST_CASE("a reply that is read late tells of no later answers and of no longer failures")
{
    state::StoreAvailability sender;
    sender.merge({1, at(0), at(10'000)});
    sender.onFailure(at(11'000));
    sender.onFailure(at(14'000));
    const auto ages = toAges(sender, at(14'000));
    REQUIRE(ages);
    state::StoreAvailability receiver;
    mergeAges(*ages, at(14'000), at(16'000), receiver);
    CHECK(receiver.period()->until == at(10'000));
    CHECK(receiver.failing() == state::FailingSpan{at(13'000), at(14'000)});
}

// Guards against outages that are told between hosts only while their start is within an hour.
TEST_CASE("long ages of the store's answers are sent as the longest one")
{
    auto sender = afterOutage();
    const auto ages = toAges(sender, at(0) + std::chrono::hours(30));
    REQUIRE(ages);
    const auto read = readStoreAnswers(writeStoreAnswers(*ages));
    CHECK(read.since == std::chrono::hours(1));
    CHECK(read.last == std::chrono::hours(1));
    CHECK(read.outageSince == std::chrono::hours(1));
}
