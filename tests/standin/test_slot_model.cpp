#include "standin/slot_model.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::standin;

// Guards against a stand-in that falls over although its clients follow the cold ramp, or that
// tolerates clients which do not.
TEST_CASE("a cold upstream warms up with the ramp and falls over above its margin")
{
    protocol::GroupSettings settings;
    settings.slots = 3;
    settings.coldLimit = 1;
    SlotModel model(settings, 8);
    CHECK_FALSE(model.isCold());
    model.makeCold();
    model.begin();
    CHECK(model.admit() == Admission::Queue);
    model.enqueue();
    CHECK(model.admit() == Admission::Overload);
    model.dequeue();
    model.finish(true);
    CHECK(model.limit() == 2);
    for (int i = 0; i < 2; ++i) {
        CHECK(model.admit() == Admission::Run);
        model.begin();
        model.finish(true);
    }
    CHECK(model.limit() == 3);
    CHECK_FALSE(model.isCold());
}
