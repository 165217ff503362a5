#include "tests/system/platform_checks.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

bool isCompleteResponse(const std::string &response)
{
    return statusOf(response) == 200
           && bodyOf(response) == std::string(16, 'b') + std::string(16, 'a')
           && fieldOf(response, "X-Part-Stamps") == "shard-a, shard-b"
           && fieldOf(response, "X-Missing-Parts") == "0";
}

} // namespace

// Guards against hosts that need the store for each request, and against a restarted host that
// cannot read the configuration from its peers.
TEST_CASE("hosts return complete responses, also while the store is down")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    for (int host = 1; host <= PlatformCluster::HostCount; ++host)
        CHECK(isCompleteResponse(cluster.call(host, "/g/q")));
    CHECK(statusOf(cluster.call(1, "/none/")) == 404);
    CHECK(cluster.metrics(1).find("persimmon_requests_total") != std::string::npos);
    cluster.store().setDown(true);
    cluster.process(2).kill();
    cluster.startHost(2);
    CHECK(cluster.waitUntilReady(2));
    CHECK(isCompleteResponse(cluster.call(2, "/g/q")));
    // A change that is written when the store is reachable again is applied by all hosts.
    cluster.store().setDown(false);
    cluster.store().compact();
    cluster.publishConfig(2, "/moved/");
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        CHECK(cluster.waitUntil([&] { return statusOf(cluster.call(host, "/g/q")) == 404; }));
        CHECK(isCompleteResponse(cluster.call(host, "/moved/q")));
    }
}

// Guards against requests to a draining upstream and against a directory that lists a killed host.
TEST_CASE("a draining upstream receives no new requests and a killed host is no longer listed")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    cluster.registerUpstream("a1", "draining");
    std::this_thread::sleep_for(seconds(1));
    const auto before = cluster.receivedRequestCount("a1");
    for (int i = 0; i < 20; ++i)
        CHECK(isCompleteResponse(cluster.call(1 + i % PlatformCluster::HostCount, "/g/q")));
    CHECK(cluster.receivedRequestCount("a1") == before);
    cluster.process(3).kill();
    CHECK(cluster.waitUntil(
            [&] { return cluster.locate(1).find(cluster.frontAddress(3)) == std::string::npos; }));
}

// Guards against a retry of a non-idempotent request whose response was lost.
TEST_CASE("a non-idempotent request is executed once when responses are lost")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    cluster.dropResponses(true);
    for (int i = 0; i < 10; ++i)
        CHECK(statusOf(cluster.call(1 + i % PlatformCluster::HostCount, "/pay/1", "POST")) == 502);
    for (const auto &run : cluster.executionCounts())
        CHECK_MESSAGE(run.second == 1, run.first);
}

// Guards against requests that are read but never answered around a planned shutdown.
TEST_CASE("hosts that restart in turn under load lose no accepted request")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    std::atomic<bool> running = true;
    std::atomic<int> successCount = 0;
    std::mutex mutex;
    std::map<std::string, std::string> responseOfFailed;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; running; ++i) {
                const auto id = "c" + std::to_string(caller) + "-" + std::to_string(i);
                const int host = 1 + i % PlatformCluster::HostCount;
                const auto response = cluster.callWithId(id, host, "/g/q");
                if (statusOf(response) == 200) {
                    ++successCount;
                } else {
                    const std::lock_guard lock(mutex);
                    responseOfFailed[id] = response;
                }
                std::this_thread::sleep_for(milliseconds(5));
            }
        });
    }
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        cluster.process(host).signal(SIGTERM);
        CHECK(cluster.process(host).waitForExit(seconds(4)));
        cluster.startHost(host);
        CHECK(cluster.waitUntilReady(host));
    }
    running = false;
    for (auto &caller : callers)
        caller.join();
    CHECK(successCount > 100);
    // Requests fail if the host is down or closes the connection while they are on the way; none of
    // them may have been forwarded.
    const auto executionCounts = cluster.executionCounts();
    for (const auto &failed : responseOfFailed)
        CHECK_MESSAGE(!executionCounts.contains(failed.first),
                      failed.first << " received: " << failed.second);
}

// Guards against a host that keeps old limits because it received no signal after the file changed.
TEST_CASE("changed settings are applied without a signal and an invalid file is ignored")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    const auto hasTtl = [&](const std::string &time) {
        return cluster.locate(1).find("\"ttl_s\":" + time) != std::string::npos;
    };
    CHECK(hasTtl("2"));
    cluster.changeSettings(1, 4);
    CHECK(cluster.waitUntil([&] { return hasTtl("4"); }, seconds(3)));
    cluster.writeInvalidSettings(1);
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(hasTtl("4"));
    CHECK(statusOf(cluster.call(1, "/g/q")) == 200);
}
