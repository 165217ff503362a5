#include "tests/system/platform_checks.h"

#include <csignal>
#include <thread>
#include <vector>

using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time in which a write must be in force on all hosts.
constexpr seconds ApplyLimit{3};
/// Time in which the evacuation of a failure domain must be in force on all hosts.
constexpr seconds EvacuationLimit{5};
constexpr seconds OutageTime{1};
/// Time after the return of the store in which its writers write again what it has lost.
constexpr seconds RewriteTime{2};
/// Time after the return of the store in which the registrations of upstreams that have left expire
/// again.
constexpr milliseconds ExpiryTime{3600};
/// Longer than the time in which hosts keep what a restored store lacks.
constexpr seconds ReconciledTime{7};
constexpr int RequestsPerHost = 4;
constexpr milliseconds ResponseTime{50};

/// Restores the store, which is down for a moment before, from the copy of a revision.
void restoreStore(PlatformCluster &cluster, std::uint64_t revision)
{
    cluster.store().setDown(true);
    std::this_thread::sleep_for(OutageTime);
    cluster.store().restore(revision);
    cluster.store().setDown(false);
}

/// Raises the revision of the store without a change for requests.
void addWrites(PlatformCluster &cluster, int count)
{
    for (int i = 0; i < count; ++i)
        cluster.registerUpstream("p1", "ready");
}

/// @return the hosts that do not answer a request on the route of @p prefix with @p status.
std::vector<int> hostsWithout(PlatformCluster &cluster, const std::string &prefix, int status)
{
    std::vector<int> hosts;
    for (int host = 1; host <= cluster.hostCount(); ++host) {
        if (statusOf(cluster.call(host, prefix + "q")) != status)
            hosts.push_back(host);
    }
    return hosts;
}

bool isInForce(PlatformCluster &cluster, const std::string &prefix)
{
    return hostsWithout(cluster, prefix, 200).empty();
}

void publishAndAwaitConfig(PlatformCluster &cluster, std::uint64_t version,
                           const std::string &prefix)
{
    cluster.publishConfig(version, prefix);
    REQUIRE(cluster.waitUntil([&] { return isInForce(cluster, prefix); }, ApplyLimit));
}

/// Writes a configuration and checks that all hosts apply it in time.
void checkChangeIsApplied(PlatformCluster &cluster, std::uint64_t version)
{
    const auto prefix = "/change" + std::to_string(version) + "/";
    cluster.publishConfig(version, prefix);
    CHECK_MESSAGE(cluster.waitUntil([&] { return isInForce(cluster, prefix); }, ApplyLimit),
                  "version " << version << " is not in force; last log line of host 1: "
                             << cluster.lastLogLine(1));
}

/// Checks that @p condition holds all the time.
/// @param expectation describes the condition if it fails.
void checkHolds(const std::string &expectation, milliseconds time,
                const std::function<bool()> &condition)
{
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < time) {
        const bool holds = condition();
        const auto elapsed =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
        CHECK_MESSAGE(holds, expectation << " does not hold after " << elapsed.count() << " ms");
        if (!holds)
            return;
    }
}

void checkStaysInForce(PlatformCluster &cluster, const std::string &prefix, milliseconds time)
{
    checkHolds(prefix + " is in force", time, [&] { return isInForce(cluster, prefix); });
}

/// Sends more concurrent requests to all hosts than one upstream has slots.
/// @return number of those that reached an upstream.
std::size_t countRequestsTo(PlatformCluster &cluster, const std::string &upstream)
{
    const auto before = cluster.receivedRequestCount(upstream);
    std::vector<std::thread> callers;
    for (int i = 0; i < RequestsPerHost * cluster.hostCount(); ++i)
        callers.emplace_back(
                [&cluster, host = 1 + i % cluster.hostCount()] { cluster.call(host, "/g/q"); });
    for (auto &caller : callers)
        caller.join();
    return cluster.receivedRequestCount(upstream) - before;
}

bool isUnused(PlatformCluster &cluster, const std::string &upstream)
{
    return countRequestsTo(cluster, upstream) == 0;
}

} // namespace

// Guards against hosts that wait until a restored store reaches the revision that they have seen.
TEST_CASE("a change confirmed after the store was restored is in force on all hosts within 3 s")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    addWrites(cluster, 20);
    publishAndAwaitConfig(cluster, 2, "/lost/");
    restoreStore(cluster, copy);
    checkChangeIsApplied(cluster, 3);
    checkChangeIsApplied(cluster, 4);
}

// Guards against an older configuration that hosts take from the store's copy.
TEST_CASE("an older configuration never returns while the newer one is written again")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    publishAndAwaitConfig(cluster, 2, "/v2/");
    publishAndAwaitConfig(cluster, 5, "/v5/");
    restoreStore(cluster, copy);
    checkStaysInForce(cluster, "/v5/", RewriteTime);
    cluster.publishConfig(5, "/v5/");
    checkStaysInForce(cluster, "/v5/", ReconciledTime);
    checkChangeIsApplied(cluster, 6);
}

// Guards against an older configuration on a host that knows nothing from before the restore.
TEST_CASE("a host that starts after a restore takes the newer configuration from its peers")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    addWrites(cluster, 20);
    publishAndAwaitConfig(cluster, 2, "/v2/");
    restoreStore(cluster, copy);
    cluster.process(1).kill();
    cluster.startHost(1);
    REQUIRE(cluster.waitUntilReady(1));
    checkStaysInForce(cluster, "/v2/", RewriteTime);
    cluster.publishConfig(2, "/v2/");
    checkStaysInForce(cluster, "/v2/", ReconciledTime);
    checkChangeIsApplied(cluster, 3);
}

// Guards against requests to upstreams that exist only in the store's copy.
TEST_CASE("an upstream that has left does not return with the restored store")
{
    PlatformClusterOptions options;
    options.responseTime = ResponseTime;
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    const auto isA2Unused = [&] { return isUnused(cluster, "a2"); };
    REQUIRE_FALSE(isA2Unused());
    const auto copy = cluster.store().revision();
    cluster.deregisterUpstream("a2");
    addWrites(cluster, 20);
    REQUIRE(cluster.waitUntil(isA2Unused, ApplyLimit));
    restoreStore(cluster, copy);
    checkHolds("a2 is unused", ExpiryTime, isA2Unused);
    cluster.deregisterUpstream("a2");
    checkHolds("a2 is unused", ReconciledTime, isA2Unused);
    cluster.deregisterUpstream("b2");
    CHECK(cluster.waitUntil([&] { return isUnused(cluster, "b2"); }, ApplyLimit));
}

// Guards against requests to an upstream whose shutdown the store's copy does not show.
TEST_CASE("a draining upstream is not used because the restored store has its earlier state")
{
    PlatformClusterOptions options;
    options.responseTime = ResponseTime;
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    cluster.registerUpstream("a2", "draining");
    addWrites(cluster, 20);
    const auto isA2Unused = [&] { return isUnused(cluster, "a2"); };
    REQUIRE(cluster.waitUntil(isA2Unused, ApplyLimit));
    restoreStore(cluster, copy);
    checkHolds("a2 is unused", RewriteTime, isA2Unused);
    cluster.registerUpstream("a2", "draining");
    checkHolds("a2 is unused", ReconciledTime, isA2Unused);
    cluster.registerUpstream("a2", "ready");
    CHECK(cluster.waitUntil([&] { return !isA2Unused(); }, ApplyLimit));
}

// Guards against hosts that drop live upstreams, or that keep dead ones, since the copy lacks both.
TEST_CASE("an upstream whose registration the restored store lacks stays in use until it registers "
          "again, and is removed if it does not")
{
    PlatformClusterOptions options;
    options.responseTime = ResponseTime;
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    for (const auto *id : {"a1", "a2", "b1"})
        cluster.deregisterUpstream(id);
    const auto copy = cluster.store().revision();
    cluster.registerUpstream("a1", "ready");
    cluster.registerUpstream("b1", "ready");
    REQUIRE(cluster.waitUntil([&] { return isInForce(cluster, "/g/"); }, ApplyLimit));
    REQUIRE(cluster.waitUntil([&] { return countRequestsTo(cluster, "b1") > 0; }, ApplyLimit));
    restoreStore(cluster, copy);
    checkStaysInForce(cluster, "/g/", RewriteTime);
    cluster.registerUpstream("a1", "ready");
    checkStaysInForce(cluster, "/g/", ReconciledTime - RewriteTime);
    CHECK(countRequestsTo(cluster, "a1") > 0);
    CHECK(isUnused(cluster, "b1"));
}

// Guards against evacuations that end or begin because of the store's copy.
TEST_CASE(
        "an evacuation that the restored store lost stays in force until it is written again, and "
        "one that had ended does not return")
{
    PlatformClusterOptions options;
    options.failureDomainOf = {{"a2", "z2"}, {"b2", "z3"}};
    options.responseTime = ResponseTime;
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    cluster.setEvacuated("z3", true);
    REQUIRE(cluster.waitUntil([&] { return isUnused(cluster, "b2"); }, EvacuationLimit));
    const auto copy = cluster.store().revision();
    cluster.setEvacuated("z3", false);
    cluster.setEvacuated("z2", true);
    addWrites(cluster, 20);
    const auto isOnlyA2Unused = [&] { return isUnused(cluster, "a2") && !isUnused(cluster, "b2"); };
    REQUIRE(cluster.waitUntil(isOnlyA2Unused, EvacuationLimit));
    restoreStore(cluster, copy);
    checkHolds("z2 is evacuated and z3 is not", RewriteTime, isOnlyA2Unused);
    cluster.setEvacuated("z2", true);
    cluster.setEvacuated("z3", false);
    checkHolds("z2 is evacuated and z3 is not", ReconciledTime, isOnlyA2Unused);
    cluster.setEvacuated("z2", false);
    CHECK(cluster.waitUntil([&] { return !isUnused(cluster, "a2"); }, EvacuationLimit));
}

// Guards against a host that rejects the records of a peer because their revisions are lower.
TEST_CASE("hosts that cannot reach the store learn the new era from their peers")
{
    PlatformClusterOptions options;
    options.storeAddressFor = [](int host, const std::string &address) {
        // Nothing listens on this port.
        return host == 1 ? std::string("127.0.0.1:1") : address;
    };
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    addWrites(cluster, 20);
    publishAndAwaitConfig(cluster, 2, "/v2/");
    restoreStore(cluster, copy);
    checkStaysInForce(cluster, "/v2/", RewriteTime);
    checkChangeIsApplied(cluster, 3);
    checkStaysInForce(cluster, "/change3/", ReconciledTime);
    checkChangeIsApplied(cluster, 4);
}

// Guards against a host whose peer watch ends with a lower revision than that of its own mirror.
TEST_CASE("a host that follows the mirror of a peer follows it into the new era")
{
    PlatformClusterOptions options;
    options.hostCount = 5;
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    addWrites(cluster, 20);
    publishAndAwaitConfig(cluster, 2, "/v2/");
    restoreStore(cluster, copy);
    checkStaysInForce(cluster, "/v2/", RewriteTime);
    cluster.publishConfig(2, "/v2/");
    checkStaysInForce(cluster, "/v2/", ReconciledTime);
    checkChangeIsApplied(cluster, 3);
}

// Guards against hosts that handle a restore only once, or not while they still handle another one.
TEST_CASE("a store that is restored twice in a row")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    const auto oldCopy = cluster.store().revision();
    addWrites(cluster, 5);
    const auto copy = cluster.store().revision();
    addWrites(cluster, 20);
    publishAndAwaitConfig(cluster, 2, "/v2/");
    restoreStore(cluster, copy);
    checkStaysInForce(cluster, "/v2/", RewriteTime);
    checkChangeIsApplied(cluster, 3);
    restoreStore(cluster, oldCopy);
    checkStaysInForce(cluster, "/change3/", RewriteTime);
    cluster.publishConfig(3, "/change3/");
    checkStaysInForce(cluster, "/change3/", ReconciledTime);
    checkChangeIsApplied(cluster, 4);
}

// Guards against hosts that take an equal revision for an equal value.
TEST_CASE("a revision that is given out again with another value")
{
    PlatformCluster cluster;
    waitUntilAllListed(cluster);
    const auto copy = cluster.store().revision();
    publishAndAwaitConfig(cluster, 2, "/v2/");
    const auto revision = cluster.store().revision();
    cluster.store().setDown(true);
    std::this_thread::sleep_for(OutageTime);
    cluster.store().restore(copy);
    cluster.publishConfig(3, "/v3/");
    REQUIRE(cluster.store().revision() == revision);
    cluster.store().setDown(false);
    CHECK(cluster.waitUntil([&] { return isInForce(cluster, "/v3/"); }, ApplyLimit));
    checkChangeIsApplied(cluster, 4);
}
