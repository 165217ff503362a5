#include "tests/system/cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

json::object makePayment(const std::string &id)
{
    return {{"profile", "entry-fee"},
            {"caller", "handler-1"},
            {"key", "dog-41"},
            {"query", {{"op", "pay"}, {"amount", 25}}},
            {"request_id", id}};
}

std::string outcomeOf(const json::value &answer)
{
    if (!answer.is_object() || !answer.as_object().contains("outcome"))
        return "connection broken";
    return std::string(answer.at("outcome").as_string());
}

std::string errorOf(const json::value &answer)
{
    const auto *error = answer.is_object() ? answer.as_object().if_contains("error") : nullptr;
    return error == nullptr ? "" : std::string(error->as_string());
}

auto queryInBackground(Cluster &cluster, int host, const json::object &body)
{
    return std::async(std::launch::async,
                      [&cluster, host, body] { return cluster.query(host, body); });
}

} // namespace

// Guards against a repeated submission that charges the fee again, at the same entry or at another.
TEST_CASE("concurrent submissions at every entry execute a payment once")
{
    Cluster cluster;
    for (int round = 0; round < 20; ++round) {
        const auto id = cluster.makeRequestId(1 + round % 6, "fee-" + std::to_string(round));
        REQUIRE_FALSE(id.empty());
        std::vector<std::future<json::value>> submissions;
        for (int host = 1; host <= Cluster::HostCount; ++host) {
            submissions.push_back(queryInBackground(cluster, host, makePayment(id)));
            submissions.push_back(queryInBackground(cluster, host, makePayment(id)));
        }
        for (auto &submission : submissions)
            CHECK(outcomeOf(submission.get()) == "done");
        CHECK(cluster.executions(id) == 1);
    }
}

// Guards against a new owner of the id that has no record of it and executes it again.
TEST_CASE("a payment whose home is killed is never executed again")
{
    Cluster cluster;
    const auto before = cluster.makeRequestId(1, "before");
    const auto after = cluster.makeRequestId(1, "after");
    const auto during = cluster.makeRequestId(1, "during");
    CHECK(outcomeOf(cluster.query(1, makePayment(after))) == "done");
    cluster.fault({{"kind", "slow"}, {"group", "entry-desk"}, {"delay_ms", 300}});
    auto running = queryInBackground(cluster, 1, makePayment(during));
    CHECK(eventually([&] { return cluster.executions(during) == 1; }));
    cluster.entryProcess(1).kill();
    CHECK(outcomeOf(running.get()) == "connection broken");
    for (const auto &id : {before, during, after}) {
        for (int host = 2; host <= Cluster::HostCount; ++host) {
            const auto answer = cluster.query(host, makePayment(id));
            CHECK(outcomeOf(answer) == "unknown");
            CHECK(errorOf(answer) == "home_lost");
        }
    }
    cluster.startEntry(1);
    cluster.waitUntilReady(1);
    for (const auto &id : {before, during, after})
        CHECK(outcomeOf(cluster.query(1, makePayment(id))) == "unknown");
    CHECK(cluster.executions(before) == 0);
    CHECK(cluster.executions(during) == 1);
    CHECK(cluster.executions(after) == 1);
}

// Guards against a process that resumes after its pause and executes requests that others already
// answered as unknown.
TEST_CASE("a payment whose home is paused past its deadline is executed at most once")
{
    Cluster cluster;
    const auto id = cluster.makeRequestId(2, "paused");
    cluster.fault({{"kind", "slow"}, {"group", "entry-desk"}, {"delay_ms", 200}});
    auto first = queryInBackground(cluster, 2, makePayment(id));
    CHECK(eventually([&] { return cluster.executions(id) == 1; }));
    cluster.entryProcess(2).signal(SIGSTOP);
    const auto elsewhere = cluster.query(3, makePayment(id));
    CHECK(outcomeOf(elsewhere) == "unknown");
    std::this_thread::sleep_for(3s);
    cluster.entryProcess(2).signal(SIGCONT);
    first.get();
    CHECK(eventually([&] { return outcomeOf(cluster.query(3, makePayment(id))) == "done"; }));
    CHECK(cluster.executions(id) == 1);
}

// Guards against a payment that is reported as not_run or executed again although its response is
// only late.
TEST_CASE("a late response resolves the unknown outcome of a payment")
{
    Cluster cluster;
    cluster.fault({{"kind", "slow"}, {"group", "entry-desk"}, {"delay_ms", 1500}});
    const auto id = cluster.makeRequestId(4, "late");
    auto body = makePayment(id);
    body["deadline_ms"] = 300;
    const auto first = cluster.query(4, body);
    CHECK(outcomeOf(first) == "unknown");
    CHECK(eventually([&] { return outcomeOf(cluster.query(4, body)) == "done"; }));
    CHECK(cluster.executions(id) == 1);
}

// Guards against a retry after the request was sent to a dispatcher or upstream that then fails.
TEST_CASE("a payment is executed at most once when its dispatcher or upstream fails")
{
    Cluster cluster;
    cluster.fault({{"kind", "slow"}, {"group", "entry-desk"}, {"delay_ms", 300}});
    std::vector<std::string> ids;
    std::vector<std::future<json::value>> submissions;
    for (int i = 0; i < 12; ++i) {
        ids.push_back(cluster.makeRequestId(1 + i % 2, "loss-" + std::to_string(i)));
        auto body = makePayment(ids.back());
        body["key"] = "dog-" + std::to_string(i);
        submissions.push_back(queryInBackground(cluster, 1 + i % 2, body));
    }
    std::this_thread::sleep_for(100ms);
    cluster.dispatchProcess(3).kill();
    cluster.dispatchProcess(4).kill();
    cluster.fault({{"kind", "crash"}, {"group", "entry-desk"}, {"down_ms", 500}});
    for (std::size_t i = 0; i < submissions.size(); ++i) {
        const auto outcome = outcomeOf(submissions[i].get());
        const auto count = cluster.executions(ids[i]);
        CHECK(count <= 1);
        if (outcome == "not_run")
            CHECK(count == 0);
    }
}

// Guards against a rolling restart that loses the outcome of a payment in progress.
TEST_CASE("a home that shuts down finishes the payment in progress")
{
    Cluster cluster;
    cluster.fault({{"kind", "slow"}, {"group", "entry-desk"}, {"delay_ms", 300}});
    const auto id = cluster.makeRequestId(5, "leaving");
    auto running = queryInBackground(cluster, 5, makePayment(id));
    CHECK(eventually([&] { return cluster.executions(id) == 1; }));
    cluster.entryProcess(5).signal(SIGTERM);
    CHECK(outcomeOf(running.get()) == "done");
    CHECK(cluster.entryProcess(5).waitForExit(20s));
    CHECK(cluster.executions(id) == 1);
}

// Guards against a not_run response for a request that reached an upstream.
TEST_CASE("a request that is refused as not_run is never executed")
{
    Cluster cluster;
    const auto id = cluster.makeRequestId(1, "refused");
    auto over = makePayment(id);
    over["deadline_ms"] = 0;
    auto noId = makePayment(id);
    noId.erase("request_id");
    const auto future = id.substr(0, id.rfind('.')) + ".99999:refused";
    for (const auto &[body, error] :
         {std::pair<json::object, std::string>(over, "deadline_over"),
          std::pair<json::object, std::string>(noId, "request_id_required"),
          std::pair<json::object, std::string>(makePayment(future), "request_id_invalid")}) {
        const auto answer = cluster.query(1, body);
        CHECK(outcomeOf(answer) == "not_run");
        CHECK(errorOf(answer) == error);
    }
    CHECK(cluster.executions(id) == 0);
    CHECK(cluster.executions(future) == 0);
}
