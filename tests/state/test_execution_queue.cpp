#include "state/execution_queue.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::state;

TEST_CASE("every twentieth dequeue serves the lowest waiting priority")
{
    // Guards against starvation of bulk work by a stream of critical work.
    ExecutionQueue queue;
    const auto fixedCapacity = [](std::size_t capacity) {
        return [=](std::uint64_t) { return capacity; };
    };
    for (std::uint64_t id = 0; id < 40; ++id)
        queue.push(id, id < 30 ? protocol::Priority::Critical : protocol::Priority::Bulk,
                   fixedCapacity(100));
    std::uint64_t bulk = 0;
    for (int pops = 1; pops <= 20; ++pops) {
        const auto id = queue.pop([](std::uint64_t) { return true; });
        REQUIRE(id);
        bulk += *id >= 30 ? 1 : 0;
        CHECK(bulk == (pops == 20 ? 1U : 0U));
    }
    // Guards against a full queue that rejects critical work while bulk work waits.
    CHECK(queue.push(100, protocol::Priority::Critical, fixedCapacity(20)) == 39);
    CHECK(queue.push(101, protocol::Priority::Bulk, fixedCapacity(20)) == 101);
    // Guards against urgent work whose short deadline evicts bulk work that can wait.
    const auto urgent = [](std::uint64_t id) { return id == 102 ? 5U : 100U; };
    CHECK(queue.push(102, protocol::Priority::Critical, urgent) == 102);
}
