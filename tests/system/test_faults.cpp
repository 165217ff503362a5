#include "tests/system/background_load.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

json::object makeSearch(const std::string &text)
{
    return {{"profile", "live-scoresheet"},
            {"caller", "judge"},
            {"query", {{"op", "search"}, {"text", text}}}};
}

std::int64_t counter(Cluster &cluster, const std::string &name)
{
    return cluster.simulatorState().at(name).to_number<std::int64_t>();
}

/// Sends a query that crashes every upstream that executes it, several times to every entry.
/// @return number of crashed upstreams.
std::int64_t sendCrashingQuery(Cluster &cluster)
{
    const auto before = counter(cluster, "crashes");
    for (int round = 0; round < 3; ++round) {
        for (int host = 1; host <= Cluster::HostCount; ++host) {
            cluster.query(host, {{"profile", "live-scoresheet"},
                                 {"caller", "judge"},
                                 {"query", {{"op", "crash"}}}});
        }
    }
    return counter(cluster, "crashes") - before;
}

/// Sends queries with distinct texts until it is stopped.
class UniqueQueryLoad
{
public:
    explicit UniqueQueryLoad(Cluster &cluster) : thread_([this, &cluster] { run(cluster); }) {}
    ~UniqueQueryLoad() { stop(); }

    void stop()
    {
        stopped_ = true;
        if (thread_.joinable())
            thread_.join();
    }

    int sent() const { return sent_; }

private:
    void run(Cluster &cluster)
    {
        for (; !stopped_; ++sent_)
            cluster.query(1 + sent_ % Cluster::HostCount,
                          makeSearch("new-" + std::to_string(sent_)));
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<int> sent_ = 0;
    std::thread thread_;
};

/// Overloads of cold upstreams in a deployment whose upstreams have three slots, and when cold a
/// capacity of two concurrent executions.
struct ColdOverloads
{
    /// After all upstreams of a group became cold at once and kept their connections.
    std::int64_t unannounced = 0;
    /// After all upstreams restarted twice while owners changed and dispatchers failed.
    std::int64_t restarted = 0;
    /// Queries with the outcome "done" during the measurement.
    int successes = 0;
};

/// Measures the overloads with all faults that ColdOverloads lists.
/// @param ramp value of the dispatchers' setting "ramp".
ColdOverloads measureColdOverloads(const std::string &ramp)
{
    constexpr auto Group = "seat-finder";
    ClusterOptions options;
    options.deployment = "footlights";
    // Slow executions keep all slots in use.
    options.simulatorFlags = {"--cold", "--service-time", "40"};
    options.dispatchFlags = {"--ramp", ramp};
    Cluster cluster(options);
    const json::object body{{"profile", "matinee-listing"},
                            {"query", {{"op", "search"}, {"text", "matinee"}}}};
    BackgroundLoad load(cluster, body, 24);
    ColdOverloads counts;
    std::this_thread::sleep_for(1s);
    const auto started = counter(cluster, "cold_overloads");
    cluster.fault({{"kind", "cold"}, {"group", Group}});
    std::this_thread::sleep_for(1s);
    counts.unannounced = counter(cluster, "cold_overloads") - started;
    for (const int host : {2, 5}) {
        std::this_thread::sleep_for(500ms);
        cluster.fault({{"kind", "crash"}, {"group", Group}});
        std::this_thread::sleep_for(520ms);
        const json::array out{"h" + std::to_string(host)};
        cluster.fault({{"kind", "config_set"}, {"key", "out/hosts"}, {"value", out}});
        std::this_thread::sleep_for(30ms);
        cluster.dispatchProcess(host + 1).kill();
        std::this_thread::sleep_for(1s);
    }
    load.stop();
    counts.restarted = counter(cluster, "cold_overloads") - counts.unannounced;
    counts.successes = load.successes();
    MESSAGE("ramp " << ramp << ": " << counts.restarted << " overloads at restarts, "
                    << counts.unannounced << " after an unannounced cold start, "
                    << counts.successes << " done");
    return counts;
}

} // namespace

// Guards against one query that crashes every upstream, whichever entry it is sent to.
TEST_CASE("a crashing query that is sent to every entry crashes at most two upstreams")
{
    Cluster cluster;
    for (int host = 1; host <= Cluster::HostCount; ++host)
        cluster.query(host, makeSearch("warm-up"));
    const auto crashed = sendCrashingQuery(cluster);
    MESSAGE("upstreams crashed: " << crashed);
    CHECK(crashed <= 2);
    // Other queries are still served.
    CHECK(eventually([&] {
        const auto answer = cluster.query(1, makeSearch("other"));
        return answer.is_object() && answer.at("outcome").as_string() == "done"
               && answer.at("coverage").at("complete").as_bool();
    }));
}

// Guards against a canary test that would also pass without the canary.
TEST_CASE("a crashing query crashes many upstreams while the canary is off")
{
    ClusterOptions options;
    options.entryFlags = {"--canary", "off"};
    Cluster cluster(options);
    const auto crashed = sendCrashingQuery(cluster);
    MESSAGE("upstreams crashed: " << crashed);
    CHECK(crashed > 10);
}

// Guards against unrelated queries that are refused for minutes because they ran on an upstream
// that another query crashed.
TEST_CASE("queries that run on a crashed upstream at the same time are not quarantined")
{
    Cluster cluster;
    // Slow responses, so that unrelated queries run on every upstream at each crash.
    cluster.fault({{"kind", "slow"}, {"group", "trial-field"}, {"delay_ms", 15}});
    BackgroundLoad known(cluster, makeSearch("known"), 6);
    UniqueQueryLoad unknown(cluster);
    std::this_thread::sleep_for(1s);
    CHECK(sendCrashingQuery(cluster) <= 2);
    // The loss of a failure domain crashes one upstream of every service at once. The second loss
    // follows after the upstreams of the first have returned: a service without any response
    // between two crashes provides no evidence that a query is harmless.
    for (const int host : {1, 3}) {
        std::this_thread::sleep_for(1s);
        cluster.fault({{"kind", "crash"}, {"failure_domain", cluster.failureDomain(host)}});
    }
    std::this_thread::sleep_for(1s);
    known.stop();
    unknown.stop();
    CHECK(known.successes() > 100);
    for (const auto &[name, count] : known.outcomes()) {
        MESSAGE("known query: " << name << " " << count);
        CHECK(name != "not_run quarantined");
    }
    int quarantined = 0;
    for (int i = 0; i < unknown.sent(); ++i) {
        const auto answer = cluster.query(1, makeSearch("new-" + std::to_string(i)));
        REQUIRE(answer.is_object());
        const auto *error = answer.as_object().if_contains("error");
        quarantined += error != nullptr && error->as_string() == "quarantined" ? 1 : 0;
    }
    MESSAGE("new queries: " << unknown.sent() << ", quarantined: " << quarantined);
    CHECK(quarantined == 0);
}

// Guards against queries that wait indefinitely on connections that carry no data any more.
TEST_CASE("silent upstream connections are replaced and coverage returns")
{
    Cluster cluster;
    for (int host = 1; host <= Cluster::HostCount; ++host)
        cluster.query(host, makeSearch("warm-up"));
    cluster.fault({{"kind", "silent"},
                   {"failure_domain", cluster.failureDomain(1)},
                   {"connections", "open"}});
    CHECK(eventually([&] {
        const auto answer = cluster.query(2, makeSearch("after"));
        return answer.is_object() && answer.at("outcome").as_string() == "done"
               && answer.at("coverage").at("complete").as_bool();
    }));
}

// Guards against an overload of upstreams that restart cold while their owners change, and verifies
// that overloads occur without the ramp.
TEST_CASE("a whole service that starts cold is overloaded only without the ramp")
{
    CHECK(measureColdOverloads("off").restarted > 0);
    const auto counts = measureColdOverloads("on");
    CHECK(counts.successes > 100);
    CHECK(counts.restarted == 0);
    // Three executions run on an upstream that becomes cold and then has a capacity of two. Since
    // this is not announced, the next execution can overload each of the 40 upstreams once, but not
    // again.
    CHECK(counts.unannounced <= 40);
}

// Guards against a cold upstream that receives more executions than its capacity, also when its
// owner fails during the ramp.
TEST_CASE("upstreams that become cold are not overloaded, also when owners change")
{
    Cluster cluster;
    BackgroundLoad load(cluster, makeSearch("ramp"), 24);
    std::this_thread::sleep_for(1s);
    cluster.fault({{"kind", "cold"}, {"group", "trial-field"}});
    std::this_thread::sleep_for(500ms);
    cluster.dispatchProcess(2).kill();
    cluster.fault({{"kind", "cold"}, {"service", "trial-field-03"}});
    std::this_thread::sleep_for(4s);
    load.stop();
    CHECK(counter(cluster, "cold_overloads") == 0);
    CHECK(load.successes() > 100);
}

// Guards against responses that mix snapshots and against wrong coverage values while snapshots are
// published, services are repartitioned and replicas lag.
TEST_CASE("each response has a single snapshot while data is published and repartitioned")
{
    Cluster cluster;
    // Old snapshots are kept for the time that a change may take to apply on every host.
    constexpr int KeepMs = 5000;
    std::atomic<bool> stop = false;
    std::thread publisher([&] {
        for (int i = 0; !stop; ++i) {
            if (i % 2 == 0) {
                cluster.fault({{"kind", "publish"}, {"group", "trial-field"}, {"keep_ms", KeepMs}});
            } else {
                json::array services;
                for (int service = 1; service <= 9; ++service)
                    services.push_back(json::value("trial-field-0" + std::to_string(service)));
                cluster.fault({{"kind", "repartition"},
                               {"group", "trial-field"},
                               {"services", services},
                               {"keep_ms", KeepMs}});
            }
            cluster.fault({{"kind", "replica_lag"},
                           {"upstream", "trial-field-03-a"},
                           {"on", i % 3 == 0}});
            std::this_thread::sleep_for(400ms);
        }
    });
    std::string token;
    std::uint64_t newest = 0;
    int answered = 0;
    for (int i = 0; i < 300; ++i) {
        auto body = makeSearch("roll-" + std::to_string(i));
        if (!token.empty())
            body["snapshot_token"] = token;
        const auto answer = cluster.query(1 + i % Cluster::HostCount, body);
        if (!answer.is_object() || answer.at("outcome").as_string() != "done")
            continue;
        ++answered;
        const auto snapshot = answer.at("snapshot").to_number<std::uint64_t>();
        CHECK(snapshot >= newest);
        newest = snapshot;
        token = answer.at("snapshot_token").as_string();
        std::set<std::string> shards;
        for (const auto &item : answer.at("items").as_array()) {
            CHECK(item.at("snapshot").to_number<std::uint64_t>() == snapshot);
            shards.insert(std::string(item.at("shard").as_string()));
        }
        CHECK(shards.size() == answer.at("coverage").at("answered").to_number<std::size_t>());
    }
    stop = true;
    publisher.join();
    MESSAGE("answered " << answered << " of 300, newest snapshot " << newest);
    CHECK(answered > 150);
}

// Guards against lookups with an empty result because a shard did not respond.
TEST_CASE("a lookup whose shard is missing is incomplete and never an empty success")
{
    Cluster cluster;
    cluster.fault({{"kind", "crash"}, {"group", "secretary"}, {"down_ms", 3000}});
    for (int i = 0; i < 20; ++i) {
        const auto answer =
                cluster.query(1 + i % Cluster::HostCount, {{"profile", "handler-lookup"},
                                                           {"caller", "secretary"},
                                                           {"key", "handler-" + std::to_string(i)},
                                                           {"deadline_ms", 300},
                                                           {"query", {{"op", "lookup"}}}});
        REQUIRE(answer.is_object());
        if (answer.at("outcome").as_string() == "done")
            CHECK_FALSE(answer.at("items").as_array().empty());
    }
}
