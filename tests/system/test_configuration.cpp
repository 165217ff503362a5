#include "tests/system/cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

json::object makeProfile(int deadline)
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

bool answersProfile(Cluster &cluster, int host, const std::string &name)
{
    const auto answer = cluster.query(host, {{"profile", name},
                                             {"caller", "handler"},
                                             {"key", "dog-1"},
                                             {"query", {{"op", "lookup"}}}});
    return answer.is_object() && answer.as_object().contains("outcome")
           && answer.at("outcome").as_string() == "done";
}

bool allEntriesAnswerProfile(Cluster &cluster, const std::string &name)
{
    for (int host = 1; host <= Cluster::HostCount; ++host) {
        if (!answersProfile(cluster, host, name))
            return false;
    }
    return true;
}

} // namespace

// Guards against a change that does not reach every host, an invalid change that blocks later valid
// ones, and a value that is reverted.
TEST_CASE("changes apply at every entry and an invalid change between two valid ones is rejected")
{
    Cluster cluster;
    setProfile(cluster, "first", makeProfile(1000));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "first"); }, 5s));
    setProfile(cluster, "first", json::object{{"group", 7}});
    setProfile(cluster, "second", makeProfile(900));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "second"); }, 5s));
    CHECK(allEntriesAnswerProfile(cluster, "first"));
    const auto state = cluster.simulatorState();
    CHECK(state.at("config_reads_peak_per_second").to_number<int>() < 200);
}

// Guards against a change that is confirmed after the configuration service was restored from an
// older copy and is not in force on every host, and against one that the copy lacks and that is
// lost while it could be written again.
TEST_CASE("a change that is confirmed after a restore applies at every entry")
{
    Cluster cluster;
    setProfile(cluster, "first", makeProfile(1000));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "first"); }, 5s));
    cluster.fault({{"kind", "platform_copy"}});
    setProfile(cluster, "lost", makeProfile(1000));
    setProfile(cluster, "abandoned", makeProfile(1000));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "abandoned"); }, 5s));
    cluster.fault({{"kind", "platform_restore"}});
    std::this_thread::sleep_for(2s);
    CHECK(allEntriesAnswerProfile(cluster, "lost"));
    setProfile(cluster, "later", makeProfile(1000));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "later"); }, 5s));
    setProfile(cluster, "lost", makeProfile(900));
    // After the delay the state of the service is adopted.
    CHECK(eventually([&] { return !answersProfile(cluster, 1, "abandoned"); }, 15s));
    CHECK(allEntriesAnswerProfile(cluster, "lost"));
    CHECK(allEntriesAnswerProfile(cluster, "first"));
}

// Guards against processes that lose or revert a change while the configuration service is down or
// stale, also when all processes of a host restart meanwhile.
TEST_CASE("an outage or an old revision of the configuration service reverts no change")
{
    Cluster cluster;
    setProfile(cluster, "kept", makeProfile(1000));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "kept"); }, 5s));
    cluster.fault({{"kind", "config_stale"}, {"on", true}});
    std::this_thread::sleep_for(3s);
    CHECK(allEntriesAnswerProfile(cluster, "kept"));
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
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "kept"); }));
}

// Guards against an agent that cannot transfer a value of the maximum size.
TEST_CASE("a value near one megabyte reaches every host")
{
    Cluster cluster;
    json::array names;
    for (int i = 0; i < 40000; ++i)
        names.emplace_back("retired-host-" + std::to_string(100000 + i));
    cluster.fault({{"kind", "config_set"}, {"key", "out/hosts"}, {"value", names}});
    setProfile(cluster, "after-large", makeProfile(1000));
    CHECK(eventually([&] { return allEntriesAnswerProfile(cluster, "after-large"); }, 10s));
}
