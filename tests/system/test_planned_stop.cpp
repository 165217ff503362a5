#include "tests/system/platform_checks.h"

#include <csignal>
#include <memory>
#include <thread>
#include <vector>

using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A request on a connection that was opened before the stop.
struct LateRequest
{
    std::string id;
    std::string target;
    std::string method;
    milliseconds sentAfter{0};
    std::string response = {};
};

std::vector<LateRequest> makeRequests()
{
    std::vector<LateRequest> requests;
    for (const int sentAfter : {100, 600, 1000, 1300, 1500, 1700}) {
        for (const std::string target : {"/pay/", "/one/", "/g/"}) {
            const auto id = "late-" + target.substr(1, 1) + std::to_string(sentAfter);
            requests.push_back(
                    {id, target + id, target == "/pay/" ? "POST" : "GET", milliseconds(sentAfter)});
        }
    }
    return requests;
}

/// Sends each request at its time after a signal that stops the host, and waits for the responses.
void sendDuringStop(PlatformCluster &cluster, int host, std::vector<LateRequest> &requests)
{
    std::vector<std::unique_ptr<RawCaller>> connections;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        connections.push_back(std::make_unique<RawCaller>(cluster.frontPort(host)));
        connections.back()->send("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
        REQUIRE(statusOf(connections.back()->receive()) == 404);
    }
    cluster.process(host).signal(SIGTERM);
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        callers.emplace_back([&, i] {
            auto &request = requests[i];
            std::this_thread::sleep_until(begin + request.sentAfter);
            connections[i]->send(request.method + " " + request.target
                                 + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + request.id
                                 + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
            request.response = connections[i]->receive();
        });
    }
    for (auto &caller : callers)
        caller.join();
}

} // namespace

// Guards against requests that a host takes late in its grace period and cuts at its end, and
// against a rejection of one that was executed.
TEST_CASE("requests that arrive late in a planned stop are answered before the host ends")
{
    PlatformClusterOptions options;
    SUBCASE("upstreams respond soon")
    {
        options.responseTime = milliseconds(50);
    }
    SUBCASE("upstreams respond after the end of the grace period")
    {
        options.responseTime = milliseconds(1700);
    }
    PlatformCluster cluster(options);
    waitUntilAllListed(cluster);
    auto requests = makeRequests();
    sendDuringStop(cluster, 1, requests);
    CHECK(cluster.process(1).waitForExit(seconds(4)));
    const auto executed = cluster.executionCounts();
    for (const auto &request : requests) {
        CAPTURE(request.id);
        CAPTURE(request.response);
        CHECK(statusOf(request.response) != 0);
        if (statusOf(request.response) != 503)
            continue;
        CHECK_FALSE(executed.contains(request.id));
        CHECK_FALSE(fieldOf(request.response, "Retry-After").empty());
    }
}
