#include "transport/transport.h"

#include <doctest/doctest.h>

using namespace persimmon::transport;

namespace {

/// Counts how often a message was ended for a smaller one.
struct Eviction
{
    int count = 0;
    std::function<void()> hook()
    {
        return [this] { ++count; };
    }
};

} // namespace

// Guards against a process whose memory is exhausted by many messages, each below the limit.
TEST_CASE("the receive budget limits incomplete messages in sum")
{
    ReceiveBudget budget(100);
    Eviction eviction;
    ReceiveBudget::Share first(budget, eviction.hook());
    CHECK(first.growTo(40));
    {
        ReceiveBudget::Share second(budget, eviction.hook());
        CHECK(second.growTo(60));
        CHECK_FALSE(second.growTo(61));
        CHECK(budget.used() == 100);
    }
    CHECK(budget.used() == 40);
    CHECK(first.growTo(30));
    CHECK(first.growTo(100));
    CHECK_FALSE(first.growTo(101));
    CHECK(budget.used() == 100);
    CHECK(eviction.count == 0);
}

// Guards against small messages of sound peers that are rejected because others hold the budget.
TEST_CASE("the largest message makes room for a smaller one")
{
    ReceiveBudget budget(100);
    Eviction ofLarge;
    Eviction ofMedium;
    Eviction ofSmall;
    ReceiveBudget::Share large(budget, ofLarge.hook());
    ReceiveBudget::Share medium(budget, ofMedium.hook());
    ReceiveBudget::Share small(budget, ofSmall.hook());
    CHECK(large.growTo(60));
    CHECK(medium.growTo(40));
    CHECK(small.growTo(1));
    CHECK(ofLarge.count == 1);
    CHECK(large.isEvicted());
    CHECK_FALSE(large.growTo(1));
    CHECK(budget.used() == 41);
    CHECK(small.growTo(60));
    CHECK_FALSE(small.growTo(61));
    CHECK(ofMedium.count == 0);
    CHECK(ofSmall.count == 0);
}
