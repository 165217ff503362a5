#include "tests/system/cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <mutex>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr int CallerCount = 12;
constexpr std::chrono::milliseconds ThinkTime{20};
constexpr int PausedHost = 2;

/// Measurements of one phase of the load.
struct LoadPhase
{
    std::vector<double> latenciesMs;
    double coverageSum = 0;
    int complete = 0;
    int refused = 0;

    int total() const { return static_cast<int>(latenciesMs.size()); }

    double percentile99()
    {
        std::sort(latenciesMs.begin(), latenciesMs.end());
        return latenciesMs.empty() ? 0 : latenciesMs[latenciesMs.size() * 99 / 100];
    }
};

/// Sends searches to all entries for @p duration.
LoadPhase runLoad(Cluster &cluster, std::chrono::milliseconds duration)
{
    LoadPhase phase;
    std::mutex mutex;
    const auto end = std::chrono::steady_clock::now() + duration;
    const auto send = [&](int caller) {
        const json::object body{{"profile", "live-scoresheet"},
                                {"caller", "judge-" + std::to_string(caller)},
                                {"query", {{"op", "search"}, {"text", "run"}}}};
        for (int i = caller; std::chrono::steady_clock::now() < end; ++i) {
            const auto sentAt = std::chrono::steady_clock::now();
            const auto answer = cluster.query(1 + i % Cluster::HostCount, body);
            const std::chrono::duration<double, std::milli> latency =
                    std::chrono::steady_clock::now() - sentAt;
            const bool done = answer.is_object() && answer.at("outcome").as_string() == "done";
            {
                const std::lock_guard lock(mutex);
                phase.latenciesMs.push_back(latency.count());
                phase.refused += done ? 0 : 1;
                if (done) {
                    phase.coverageSum += answer.at("coverage").at("fraction").to_number<double>();
                    phase.complete += answer.at("coverage").at("complete").as_bool() ? 1 : 0;
                }
            }
            std::this_thread::sleep_for(ThinkTime);
        }
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < CallerCount; ++i)
        callers.emplace_back(send, i);
    for (auto &caller : callers)
        caller.join();
    return phase;
}

void report(const std::string &name, LoadPhase &phase)
{
    MESSAGE(name << ": " << phase.total() << " queries, " << phase.refused << " refused, "
                 << phase.complete << " complete, mean coverage "
                 << phase.coverageSum / phase.total() << ", 99th percentile "
                 << phase.percentile99() << " ms");
}

} // namespace

// Guards against a paused dispatcher whose shards are missing from the responses until it is
// detected as silent after 1.5 s, and against one that receives no work after it has resumed.
TEST_CASE("a paused dispatcher causes neither refusals nor loss of coverage")
{
    Cluster cluster;
    // The profile waits for all shards until its deadline, so that coverage measures lost shards
    // and not the load of the machine.
    cluster.fault({{"kind", "config_set"},
                   {"key", "profile/live-scoresheet"},
                   {"value",
                    {{"group", "trial-field"},
                     {"scope", "all"},
                     {"min_coverage", 0.9},
                     {"deadline_ms", 200},
                     {"enough_after_ms", 200},
                     {"priority", "critical"},
                     {"repeatable", true},
                     {"extra_load", 0.05},
                     {"on_low_coverage", "answer"}}}});
    runLoad(cluster, 3s);
    auto before = runLoad(cluster, 3s);
    report("all dispatchers", before);
    cluster.dispatchProcess(PausedHost).signal(SIGSTOP);
    auto paused = runLoad(cluster, 4s);
    cluster.dispatchProcess(PausedHost).signal(SIGCONT);
    report("one paused", paused);
    runLoad(cluster, 2s);
    auto after = runLoad(cluster, 2s);
    report("resumed", after);
    for (auto *phase : {&before, &paused, &after}) {
        REQUIRE(phase->total() > 100);
        CHECK(phase->refused == 0);
        CHECK(phase->coverageSum >= 0.99 * phase->total());
        CHECK(phase->complete >= 0.97 * phase->total());
    }
}
