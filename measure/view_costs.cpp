#include "measure/cost.h"
#include "measure/fleet.h"
#include "measure/measurements.h"

namespace persimmon::measure {

namespace {

constexpr int Repeats = 5;

/// Costs of one store with its view.
struct ViewSeries
{
    ViewSeries(const std::string &kind, const std::string &unit)
        : store{"view store, by " + kind, unit, "bytes", {}},
          view{"cluster view, by " + kind, unit, "bytes", {}},
          change{"one change and new view, by " + kind, unit, "us", {}},
          ready{"whole merge at start, by " + kind, unit, "us", {}}
    {
    }

    void add(double size, const FleetSize &fleet, std::size_t keys)
    {
        const auto before = heapBytes();
        auto views = makeStore(fleet, keys, 0);
        store.points.push_back({size, static_cast<double>(heapBytes() - before)});
        view.points.push_back({size, bytesOf([&] { return views.view(); })});
        std::uint64_t revision = 1;
        change.points.push_back(
                {size, leastTimeOf(Repeats, [&] {
                     ++revision;
                     views.applyConfig({revision, {makeOutDomains(revision)}}, Present);
                     views.view();
                 })});
        ready.points.push_back({size, timeOf(1, [&] { makeStore(fleet, keys, 0).view(); })});
    }

    std::vector<Series> all() const { return {store, view, change, ready}; }

    Series store;
    Series view;
    Series change;
    Series ready;
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
