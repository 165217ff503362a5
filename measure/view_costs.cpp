#include "measure/cost.h"
#include "measure/fleet.h"
#include "measure/measurements.h"

namespace persimmon::measure {

namespace {

constexpr int Repeats = 5;

/// Memory and CPU time of one view store with its cluster view.
struct ViewSeries
{
    ViewSeries(const std::string &sizeName, const std::string &sizeUnit)
        : store{"view store, by " + sizeName, sizeUnit, "bytes", {}},
          view{"cluster view, by " + sizeName, sizeUnit, "bytes", {}},
          change{"one change and new view, by " + sizeName, sizeUnit, "us", {}},
          initialMerge{"initial merge, by " + sizeName, sizeUnit, "us", {}}
    {
    }

    void add(double size, const FleetSize &fleet, std::size_t keys)
    {
        const auto before = allocatedHeapBytes();
        auto viewStore = makeViewStore(fleet, keys, 0);
        store.points.push_back({size, static_cast<double>(allocatedHeapBytes() - before)});
        view.points.push_back({size, retainedHeapBytes([&] { return viewStore.view(); })});
        std::uint64_t revision = 1;
        change.points.push_back(
                {size, minCpuTime(Repeats, [&] {
                     ++revision;
                     viewStore.applyConfig({revision, {makeOutOfService(revision)}}, FixedNow);
                     viewStore.view();
                 })});
        initialMerge.points.push_back(
                {size, meanCpuTime(1, [&] { makeViewStore(fleet, keys, 0).view(); })});
    }

    std::vector<Series> all() const { return {store, view, change, initialMerge}; }

    Series store;
    Series view;
    Series change;
    Series initialMerge;
};

} // namespace

std::vector<Series> measureViews()
{
    ViewSeries byUpstreams("upstreams", "upstream");
    for (const std::size_t count : {1000, 3000, 10'000, 30'000, 100'000})
        byUpstreams.add(static_cast<double>(count), {0, count}, 0);
    ViewSeries byHosts("entry hosts", "host");
    for (const std::size_t count : {300, 600, 1200, 2400, 4800})
        byHosts.add(static_cast<double>(count), {count, 0}, 0);
    ViewSeries byKeys("keys", "key");
    for (const std::size_t count : {100, 400, 1600, 6400})
        byKeys.add(static_cast<double>(count), {}, count);
    std::vector<Series> all;
    for (const auto *series : {&byUpstreams, &byHosts, &byKeys}) {
        for (const auto &one : series->all())
            all.push_back(one);
    }
    return all;
}

} // namespace persimmon::measure
