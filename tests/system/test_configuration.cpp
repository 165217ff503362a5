#include "tests/system/cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

json::object profile(int deadline)
{
    return {{"group", "running-order"},    {"scope", "key"},
            {"min_coverage", 1},           {"deadline_ms", deadline},
            {"enough_after_ms", deadline}, {"priority", "high"},
            {"repeatable", true},          {"extra_load", 0.05},
            {"on_low_coverage", "refuse"}};
}

void setProfile(Cluster &cluster, const std::string &name, const json::value &value)
{
    cluster.fault({{"kind", "config_set"}, {"key", "profile/" + name}, {"value", value}});
}

bool isServed(Cluster &cluster, int host, const std::string &name)
{
    const auto answer = cluster.query(host, {{"profile", name},
                                             {"caller", "handler"},
                                             {"key", "dog-1"},
                                             {"query", {{"op", "lookup"}}}});
    return answer.is_object() && answer.as_object().contains("outcome")
           && answer.at("outcome").as_string() == "done";
}

bool isServedEverywhere(Cluster &cluster, const std::string &name)
{
    for (int host = 1; host <= Cluster::HostCount; ++host) {
        if (!isServed(cluster, host, name))
            return false;
    }
    return true;
}

} // namespace

// Guards against an edit that stays unknown somewhere, a bad edit that stops later good ones, and
// a value that is undone.
TEST_CASE("edits are in force everywhere and a bad edit between two good ones is refused")
{
    Cluster cluster;
    setProfile(cluster, "first", profile(1000));
    CHECK(eventually([&] { return isServedEverywhere(cluster, "first"); }, 5s));
    setProfile(cluster, "first", json::object{{"group", 7}});
    setProfile(cluster, "second", profile(900));
    CHECK(eventually([&] { return isServedEverywhere(cluster, "second"); }, 5s));
    CHECK(isServedEverywhere(cluster, "first"));
    const auto state = cluster.standinState();
    CHECK(state.at("config_reads_peak_per_second").to_number<int>() < 200);
}

// Guards against processes that lose or undo an edit while the service is down or stale, also when
// all processes of a host start again meanwhile.
TEST_CASE("an outage or an old revision of the service undoes nothing")
{
    Cluster cluster;
    setProfile(cluster, "kept", profile(1000));
    CHECK(eventually([&] { return isServedEverywhere(cluster, "kept"); }, 5s));
    cluster.fault({{"kind", "config_stale"}, {"on", true}});
    std::this_thread::sleep_for(3s);
    CHECK(isServedEverywhere(cluster, "kept"));
    cluster.fault({{"kind", "config_stale"}, {"on", false}});
    cluster.fault({{"kind", "config_down"}, {"on", true}});
    for (const int host : {1, 4}) {
        cluster.entryProcess(host).kill();
        cluster.dispatchProcess(host).kill();
        cluster.agentProcess(host).kill();
        cluster.startAgent(host);
        cluster.startDispatch(host);
        cluster.startEntry(host);
    }
    for (const int host : {1, 4})
        CHECK(cluster.waitUntilReady(host));
    CHECK(eventually([&] { return isServedEverywhere(cluster, "kept"); }));
}

// Guards against an agent that cannot carry a value of the largest size.
TEST_CASE("a value near one megabyte reaches every host")
{
    Cluster cluster;
    json::array names;
    for (int i = 0; i < 40000; ++i)
        names.emplace_back("retired-host-" + std::to_string(100000 + i));
    cluster.fault({{"kind", "config_set"}, {"key", "out/hosts"}, {"value", names}});
    setProfile(cluster, "after-large", profile(1000));
    CHECK(eventually([&] { return isServedEverywhere(cluster, "after-large"); }, 10s));
}
