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

constexpr int Callers = 12;
constexpr std::chrono::milliseconds ThinkTime{20};
constexpr int PausedHost = 2;

/// Answers of one phase of the load.
struct Phase
{
    std::vector<double> milliseconds;
    double coverage = 0;
    int complete = 0;
    int refused = 0;

    int total() const { return static_cast<int>(milliseconds.size()); }

    double percentile99()
    {
        std::sort(milliseconds.begin(), milliseconds.end());
        return milliseconds.empty() ? 0 : milliseconds[milliseconds.size() * 99 / 100];
    }
};

/// Sends searches to all entries for @p duration.
Phase runLoad(Cluster &cluster, std::chrono::milliseconds duration)
{
    Phase phase;
    std::mutex mutex;
    const auto end = std::chrono::steady_clock::now() + duration;
    const auto send = [&](int caller) {
        const json::object body{{"profile", "live-scoresheet"},
                                {"caller", "judge-" + std::to_string(caller)},
                                {"query", {{"op", "search"}, {"text", "run"}}}};
        for (int i = caller; std::chrono::steady_clock::now() < end; ++i) {
            const auto sentAt = std::chrono::steady_clock::now();
            const auto answer = cluster.query(1 + i % Cluster::HostCount, body);
            const std::chrono::duration<double, std::milli> time =
                    std::chrono::steady_clock::now() - sentAt;
            const bool done = answer.is_object() && answer.at("outcome").as_string() == "done";
            {
                const std::lock_guard lock(mutex);
                phase.milliseconds.push_back(time.count());
                phase.refused += done ? 0 : 1;
                if (done) {
                    phase.coverage += answer.at("coverage").at("fraction").to_number<double>();
                    phase.complete += answer.at("coverage").at("complete").as_bool() ? 1 : 0;
                }
            }
            std::this_thread::sleep_for(ThinkTime);
        }
    };
    std::vector<std::thread> callers;
    for (int i = 0; i < Callers; ++i)
        callers.emplace_back(send, i);
    for (auto &caller : callers)
        caller.join();
    return phase;
}

void report(const std::string &name, Phase &phase)
{
    MESSAGE(name << ": " << phase.total() << " queries, " << phase.refused << " refused, "
                 << phase.complete << " complete, mean coverage " << phase.coverage / phase.total()
                 << ", 99th percentile " << phase.percentile99() << " ms");
}

} // namespace

// Guards against a paused dispatcher whose shards are missing from the answers until its silence is
// noticed after 1.5 s, and against one that gets no work again when it is back.
TEST_CASE("a paused dispatcher costs neither answers nor coverage")
{
    Cluster cluster;
    runLoad(cluster, 2s);
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
        CHECK(phase->coverage >= 0.99 * phase->total());
        CHECK(phase->complete >= 0.97 * phase->total());
    }
}
