#include "state/state.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace persimmon;
using namespace persimmon::state;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.targets = {{"s", 1}};
    return route;
}

std::string nameOf(const Route *route)
{
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("the longest prefix of the path selects the route")
{
    // Guards against a shorter prefix that matches before a longer one, and against a match in the
    // query string or in the middle of a path segment.
    RoutingConfig config;
    config.routes = {makeRoute("short", "a.example", "/x/"),
                     makeRoute("long", "a.example", "/x/y/"), makeRoute("other", "b.example", "/")};
    const RouteTable table(config);
    CHECK(nameOf(table.find("a.example", "/x/1")) == "short");
    CHECK(nameOf(table.find("a.example", "/x/y/1?z=/x/")) == "long");
    CHECK(nameOf(table.find("A.Example:8080", "/x/y/")) == "long");
    CHECK(nameOf(table.find("a.example", "/x")) == "none");
    CHECK(nameOf(table.find("a.example", "/q?p=/x/")) == "none");
    CHECK(nameOf(table.find("b.example", "/anything")) == "other");
    CHECK(nameOf(table.find("c.example", "/x/")) == "none");
}

TEST_CASE("a weighted split keeps the shares of its services over short runs")
{
    // Guards against shares that hold only on average: over 200 requests each must be within 2.
    WeightedSplit split;
    const std::vector<WeightedService> targets{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i)
        ++counts[split.next(targets)];
    CHECK(std::abs(counts["a"] - 140) <= 2);
    CHECK(std::abs(counts["b"] - 40) <= 2);
    CHECK(std::abs(counts["c"] - 20) <= 2);
    // A service with weight 0 gets no requests, and removed services keep no share.
    counts.clear();
    for (int i = 0; i < 50; ++i)
        ++counts[split.next({{"a", 1}, {"d", 0}})];
    CHECK(counts["a"] == 50);
}
