#include "standin/slot_model.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::standin;

// Guards against a simulated upstream that is overloaded although its clients follow the warm-up,
// or that tolerates clients that exceed it.
TEST_CASE("a cold upstream increases its limit and is overloaded above the margin")
{
    protocol::GroupSettings settings;
    settings.slots = 3;
    settings.coldLimit = 1;
    SlotModel model(settings, 8);
    CHECK_FALSE(model.isCold());
    model.makeCold();
    model.start();
    CHECK(model.admit() == AdmissionDecision::Queue);
    model.enqueue();
    CHECK(model.admit() == AdmissionDecision::Overload);
    model.dequeue();
    model.finish(true);
    CHECK(model.limit() == 2);
    for (int i = 0; i < 2; ++i) {
        CHECK(model.admit() == AdmissionDecision::Run);
        model.start();
        model.finish(true);
    }
    CHECK(model.limit() == 3);
    CHECK_FALSE(model.isCold());
}
