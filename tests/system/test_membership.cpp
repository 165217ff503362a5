#include "tests/system/background_load.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

/// Time after which a change must apply on every host and no new work may start: the exchange takes
/// about 2 s, the validity of a locate response 3 s and its margin 2 s.
constexpr std::chrono::milliseconds OutOfServiceLimit{8000};

const json::object Scoresheet{
        {"profile", "live-scoresheet"}, {"query", {{"op", "search"}}}, {"deadline_ms", 2000}};

const json::object Listing{{"profile", "matinee-listing"}, {"query", {{"op", "search"}}}};

std::int64_t lastRequestAgeMs(Cluster &cluster, const std::string &domain)
{
    const auto state = cluster.simulatorState();
    const auto &age = state.at("failure_domains").at(domain).at("last_request_age_ms");
    return age.is_null() ? std::int64_t{1} << 40 : age.to_number<std::int64_t>();
}

void setFailureDomainsOut(Cluster &cluster, const json::array &domains)
{
    cluster.fault({{"kind", "config_set"}, {"key", "out/domains"}, {"value", domains}});
}

void report(BackgroundLoad &load)
{
    for (const auto &[name, number] : load.outcomes())
        MESSAGE(name << ": " << number);
}

} // namespace

// Guards against work for a failure domain that operators have taken out of service, against
// refusals of a profile of the highest priority meanwhile, and against a failure domain that stays
// unused after its return.
TEST_CASE("a failure domain is taken out of service and returned without a refused request")
{
    Cluster cluster;
    const auto domain = cluster.failureDomain(3);
    BackgroundLoad load(cluster, Scoresheet, 12);
    std::this_thread::sleep_for(1s);
    setFailureDomainsOut(cluster, {domain});
    std::this_thread::sleep_for(OutOfServiceLimit + 1s);
    CHECK(lastRequestAgeMs(cluster, domain) >= 1000);
    setFailureDomainsOut(cluster, {});
    CHECK(eventually([&] { return lastRequestAgeMs(cluster, domain) < 500; }));
    std::this_thread::sleep_for(2s);
    load.stop();
    report(load);
    CHECK(load.failures() == 0);
    CHECK(load.successes() > 100);
}

// Guards against a process that was paused during the change and continues with its old view.
TEST_CASE("a paused process sends nothing to a failure domain that was taken out meanwhile")
{
    Cluster cluster;
    const auto domain = cluster.failureDomain(3);
    BackgroundLoad load(cluster, Scoresheet, 6);
    std::this_thread::sleep_for(1s);
    for (const int host : {1, 2}) {
        cluster.agentProcess(host).signal(SIGSTOP);
        cluster.dispatchProcess(host).signal(SIGSTOP);
        cluster.entryProcess(host).signal(SIGSTOP);
    }
    setFailureDomainsOut(cluster, {domain});
    std::this_thread::sleep_for(OutOfServiceLimit);
    for (const int host : {1, 2}) {
        cluster.entryProcess(host).signal(SIGCONT);
        cluster.dispatchProcess(host).signal(SIGCONT);
        cluster.agentProcess(host).signal(SIGCONT);
    }
    std::this_thread::sleep_for(3s);
    load.stop();
    report(load);
    CHECK(lastRequestAgeMs(cluster, domain) >= 3000);
    CHECK(load.successes() > 50);
}

// Guards against new work for an upstream in state "leaving".
TEST_CASE("a leaving upstream receives no new work")
{
    Cluster cluster;
    const std::string name = "trial-field-07-a";
    BackgroundLoad load(cluster, Scoresheet, 6);
    CHECK(eventually([&] {
        const auto state = cluster.simulatorState();
        return state.at("upstreams").at(name).at("executions").to_number<int>() > 0;
    }));
    auto leaving = cluster.hostRow(name).as_object();
    leaving["state"] = "leaving";
    cluster.fault({{"kind", "host_put"}, {"host", leaving}});
    std::this_thread::sleep_for(OutOfServiceLimit + 1s);
    const auto state = cluster.simulatorState();
    const auto &row = state.at("upstreams").at(name);
    CHECK(row.at("last_request_age_ms").to_number<int>() >= 1000);
    load.stop();
    report(load);
    CHECK(load.failures() == 0);
}

// Guards against a rolling restart that interrupts or refuses a request.
TEST_CASE("a rolling restart of all hosts fails no request")
{
    Cluster cluster({.deployment = "footlights"});
    BackgroundLoad load(cluster, Listing, 12);
    std::this_thread::sleep_for(1s);
    for (int host = 1; host <= Cluster::HostCount; ++host) {
        cluster.entryProcess(host).signal(SIGTERM);
        CHECK(cluster.entryProcess(host).waitForExit(20s));
        cluster.dispatchProcess(host).signal(SIGTERM);
        CHECK(cluster.dispatchProcess(host).waitForExit(20s));
        cluster.agentProcess(host).signal(SIGTERM);
        CHECK(cluster.agentProcess(host).waitForExit(20s));
        cluster.startAgent(host);
        cluster.startDispatch(host);
        cluster.startEntry(host);
        CHECK(cluster.waitUntilReady(host));
    }
    load.stop();
    report(load);
    CHECK(load.failures() == 0);
    CHECK(load.successes() > 100);
}

// Guards against locate responses with a killed entry until the host list, which lags, is updated.
TEST_CASE("a killed entry is no longer returned by locate")
{
    Cluster cluster;
    const auto returnsKilledEntry = [&] {
        for (int caller = 0; caller < 30; ++caller) {
            const auto answer = cluster.locate(1, "caller-" + std::to_string(caller));
            if (answer.at("address").as_string() == cluster.entryAddress(3))
                return true;
        }
        return false;
    };
    CHECK(eventually(returnsKilledEntry));
    cluster.entryProcess(3).kill();
    CHECK(eventually([&] { return !returnsKilledEntry(); }, 5s));
    cluster.startEntry(3);
    CHECK(eventually(returnsKilledEntry));
}

// Guards against the failure of one process that makes others fail.
TEST_CASE("the other entries keep serving when an agent, a dispatcher or an entry fails")
{
    Cluster cluster;
    cluster.agentProcess(1).kill();
    cluster.dispatchProcess(2).kill();
    cluster.entryProcess(3).kill();
    std::this_thread::sleep_for(4s);
    for (const int host : {1, 2, 4, 5, 6}) {
        const auto answer = cluster.query(host, {{"profile", "live-scoresheet"},
                                                 {"caller", "judge"},
                                                 {"query", {{"op", "search"}}}});
        REQUIRE(answer.is_object());
        CHECK(answer.at("outcome").as_string() == "done");
        CHECK(answer.at("coverage").at("complete").as_bool());
    }
}
