#include "state/gossip_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using persimmon::state::GossipTable;
using std::chrono::milliseconds;

namespace {

using Table = GossipTable<int, int>;

const Table::TimePoint Start{std::chrono::hours(1)};

} // namespace

// Guards against changes that are only in the messages of the time in which too many others are.
TEST_CASE("all entries that change at the same time reach a peer by messages of a bounded size")
{
    constexpr int Entries = 1000;
    constexpr std::size_t MaxChangedEntries = 8;
    Table table(MaxChangedEntries);
    for (int i = 0; i < Entries; ++i)
        table.put(i, i, Start);
    std::set<int> received;
    auto now = Start;
    for (int message = 0; message < Entries; ++message) {
        const auto values = table.select(now, false);
        REQUIRE(values.size() <= MaxChangedEntries + Table::RotatingEntries);
        received.insert(values.begin(), values.end());
        now += milliseconds(150);
    }
    CHECK(received.size() == Entries);
}

TEST_CASE("a change is in the next messages although others wait")
{
    Table table(8);
    for (int i = 0; i < 100; ++i)
        table.put(i, i, Start);
    for (int message = 0; message < 50; ++message)
        table.select(Start, false);
    table.put(50, -1, Start);
    const auto values = table.select(Start, false);
    CHECK(std::count(values.begin(), values.end(), -1) == 1);
}
