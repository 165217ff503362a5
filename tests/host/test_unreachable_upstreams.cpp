#include "tests/host/host_group.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

using namespace persimmon;
using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int HostCount = 3;
constexpr int CutHost = 1;
/// Time after which a host that is cut from all upstreams must serve its callers again.
constexpr seconds ContactTime{4};
constexpr milliseconds RequestInterval{5};

/// Calls one host in turn on all routes that may be repeated.
class LoopingCaller
{
public:
    LoopingCaller(HostGroup &group, int host)
        : thread_([this, &group, host] {
              for (int i = 0; running_; ++i) {
                  const auto response = group.call(host, i % 2 == 0 ? "/one/1" : "/g/1");
                  ++(statusOf(response) == 200 ? served_ : failed_);
                  std::this_thread::sleep_for(RequestInterval);
              }
          })
    {
    }

    ~LoopingCaller()
    {
        running_ = false;
        thread_.join();
    }

    LoopingCaller(const LoopingCaller &) = delete;
    LoopingCaller &operator=(const LoopingCaller &) = delete;

    int served() const { return served_; }
    int failed() const { return failed_; }

private:
    std::atomic<bool> running_ = true;
    std::atomic<int> served_ = 0;
    std::atomic<int> failed_ = 0;
    std::thread thread_;
};

/// Requires that the host reports the loss of its path, or its return.
void waitUntilPathLost(HostGroup &group, int host, bool lost)
{
    const std::string line = "persimmon_upstream_path_lost " + std::string(lost ? "1" : "0");
    REQUIRE(group.waitUntil([&] { return group.metrics(host).find(line) != std::string::npos; }));
}

void waitUntilServing(HostGroup &group)
{
    for (int host = 1; host <= HostCount; ++host) {
        REQUIRE(group.waitUntil([&] { return statusOf(group.call(host, "/g/1")) == 200; }));
        REQUIRE(group.waitUntil([&] {
            return group.metrics(host).find("persimmon_live_hosts 3") != std::string::npos;
        }));
    }
}

} // namespace

// Guards against hosts that can serve a request only over connections of their own.
TEST_CASE("callers of a host that is cut from all upstreams are served")
{
    HostGroup group(HostCount);
    waitUntilServing(group);
    const LoopingCaller caller(group, CutHost);
    std::this_thread::sleep_for(milliseconds(500));
    SUBCASE("connections hang")
    {
        group.setPath(CutHost, ProxyMode::Partition);
    }
    SUBCASE("open connections hang and new ones are refused")
    {
        group.setPath(CutHost, ProxyMode::PartitionRefusing);
    }
    SUBCASE("connections are reset and new ones are refused")
    {
        group.setPath(CutHost, ProxyMode::Reset);
        group.setPath(CutHost, ProxyMode::RefuseNew);
    }
    std::this_thread::sleep_for(ContactTime);
    const int servedBefore = caller.served();
    const int failedBefore = caller.failed();
    std::this_thread::sleep_for(seconds(3));
    const int served = caller.served() - servedBefore;
    const int failed = caller.failed() - failedBefore;
    CAPTURE(served);
    CHECK(served > 50);
    CHECK(failed == 0);
}

// Guards against a second execution of a request that was passed on.
TEST_CASE("a request that may not be repeated is passed on and executed once")
{
    HostGroup group(HostCount);
    waitUntilServing(group);
    const LoopingCaller caller(group, CutHost);
    group.setPath(CutHost, ProxyMode::PartitionRefusing);
    waitUntilPathLost(group, CutHost, true);
    for (int i = 0; i < 50; ++i)
        CHECK(statusOf(group.call(CutHost, "/pay/1", "POST")) == 200);
    for (const auto &[key, count] : group.executions())
        CHECK(count == 1);
}

// Guards against hosts that send all requests to each other when none reaches an upstream.
TEST_CASE("requests are refused at once while no host reaches an upstream")
{
    HostGroup group(HostCount);
    waitUntilServing(group);
    std::vector<std::unique_ptr<LoopingCaller>> callers;
    for (int host = 1; host <= HostCount; ++host) {
        callers.push_back(std::make_unique<LoopingCaller>(group, host));
        group.setPath(host, ProxyMode::PartitionRefusing);
    }
    for (int host = 1; host <= HostCount; ++host)
        waitUntilPathLost(group, host, true);
    // Time until all hosts have heard of each other's loss.
    std::this_thread::sleep_for(seconds(2));
    for (const std::string target : {"/one/1", "/g/1"}) {
        const auto begin = std::chrono::steady_clock::now();
        const auto response = group.call(CutHost, target);
        CHECK(std::chrono::steady_clock::now() - begin < milliseconds(100));
        CHECK(statusOf(response) == 503);
        CHECK_FALSE(fieldOf(response, "Retry-After").empty());
        CHECK(fieldOf(response, "Persimmon-Refusal").empty());
    }
}

// Guards against hosts that go on passing requests on after their path has returned.
TEST_CASE("a host serves its callers itself after its path to the upstreams has returned")
{
    HostGroup group(HostCount);
    waitUntilServing(group);
    const LoopingCaller caller(group, CutHost);
    group.setPath(CutHost, ProxyMode::Partition);
    waitUntilPathLost(group, CutHost, true);
    group.setPath(CutHost, ProxyMode::Pass);
    waitUntilPathLost(group, CutHost, false);
    std::this_thread::sleep_for(state::UpstreamReachability::RecoveryTime);
    const auto passedOn = group.passedOnCount(CutHost);
    const int failed = caller.failed();
    std::this_thread::sleep_for(seconds(1));
    CHECK(group.passedOnCount(CutHost) == passedOn);
    CHECK(caller.failed() == failed);
}

// Guards against upstreams that work on a request whose caller has left the host that passed it on.
TEST_CASE("a caller that leaves cancels its request on the host that executes it")
{
    constexpr milliseconds SlowResponse{1500};
    constexpr milliseconds CancelTime{500};
    HostGroup group(HostCount, [&](const std::string &id, const std::string &request) {
        RawResponse response{
                makeResponse("body", id, "X-Id: " + fieldOf(request, "X-Id") + "\r\n")};
        if (request.find("/one/slow") != std::string::npos)
            response.delay = SlowResponse;
        return response;
    });
    waitUntilServing(group);
    std::optional<LoopingCaller> caller(std::in_place, group, CutHost);
    group.setPath(CutHost, ProxyMode::PartitionRefusing);
    waitUntilPathLost(group, CutHost, true);
    caller.reset();
    RawCaller leaving(group.frontPort(CutHost));
    leaving.send(HostGroup::makeRequest("/one/slow"));
    const auto executing = group.executions().size();
    REQUIRE(group.waitUntil([&] { return group.executions().size() > executing; }));
    const auto abandoned = group.abandonedCount();
    leaving.close();
    CHECK(group.waitUntil([&] { return group.abandonedCount() > abandoned; }, CancelTime));
}

// Guards against requests that are lost with the planned stop of the host that executes them.
TEST_CASE("a host that stops completes the requests that others have passed on")
{
    constexpr int StoppedHost = 2;
    HostGroup group(2, [&](const std::string &id, const std::string &request) {
        RawResponse response{
                makeResponse("body", id, "X-Id: " + fieldOf(request, "X-Id") + "\r\n")};
        response.delay = milliseconds(request.find("/slow") == std::string::npos ? 3 : 1000);
        return response;
    });
    REQUIRE(group.waitUntil([&] {
        return group.metrics(CutHost).find("persimmon_live_hosts 2") != std::string::npos
               && statusOf(group.call(StoppedHost, "/one/1")) == 200
               && statusOf(group.call(CutHost, "/one/1")) == 200;
    }));
    std::optional<LoopingCaller> caller(std::in_place, group, CutHost);
    group.setPath(CutHost, ProxyMode::PartitionRefusing);
    waitUntilPathLost(group, CutHost, true);
    caller.reset();
    RawCaller waiting(group.frontPort(CutHost));
    const auto executing = group.executions().size();
    waiting.send(HostGroup::makeRequest("/pay/slow", "POST"));
    REQUIRE(group.waitUntil([&] { return group.executions().size() > executing; }));
    group.stopHost(StoppedHost);
    CHECK(statusOf(waiting.receive()) == 200);
}

// Guards against callers that are sent to hosts that must pass on all of their requests.
TEST_CASE("the directory leaves out hosts that are cut from all upstreams while others are not")
{
    HostGroup group(HostCount);
    waitUntilServing(group);
    const auto names = [&](int host) {
        const auto entries = group.locate(2);
        return entries.find(group.frontAddress(host) + " ") != std::string::npos;
    };
    std::vector<std::unique_ptr<LoopingCaller>> callers;
    for (int host = 1; host <= HostCount; ++host)
        callers.push_back(std::make_unique<LoopingCaller>(group, host));
    CHECK(group.waitUntil([&] { return names(1) && names(2) && names(3); }));
    group.setPath(CutHost, ProxyMode::PartitionRefusing);
    CHECK(group.waitUntil([&] { return !names(CutHost) && names(2) && names(3); }, ContactTime));
    SUBCASE("all are named if all are cut")
    {
        group.setPath(2, ProxyMode::PartitionRefusing);
        group.setPath(3, ProxyMode::PartitionRefusing);
        CHECK(group.waitUntil([&] { return names(1) && names(2) && names(3); }));
    }
    SUBCASE("a host is named again after its path has returned")
    {
        group.setPath(CutHost, ProxyMode::Pass);
        CHECK(group.waitUntil([&] { return names(1) && names(2) && names(3); }));
    }
}

// Guards against a host that does not know of the shutdown of an upstream whose responses reached
// it through another host.
TEST_CASE("a host knows which upstreams said that they leave while it passed requests on")
{
    constexpr seconds DrainTime{3};
    std::atomic<bool> leaves = false;
    HostGroup group(HostCount, [&](const std::string &id, const std::string &request) {
        const std::string mark = leaves && id == "p1" ? "X-Leaving: 1\r\n" : "";
        const auto fields = "X-Id: " + fieldOf(request, "X-Id") + "\r\n" + mark;
        return RawResponse{makeResponse(std::string(state::RecordBytes, 'r'), id, fields)};
    });
    waitUntilServing(group);
    const LoopingCaller caller(group, CutHost);
    group.setPath(CutHost, ProxyMode::PartitionRefusing);
    waitUntilPathLost(group, CutHost, true);
    leaves = true;
    std::this_thread::sleep_for(milliseconds(300));
    group.setPath(CutHost, ProxyMode::Pass);
    std::this_thread::sleep_for(DrainTime);
    const auto before = group.executionCount("p1");
    std::this_thread::sleep_for(seconds(2));
    CHECK(group.executionCount("p1") == before);
}

// Guards against requests that are lost, or passed on without need, when open connections work.
TEST_CASE("requests in progress stay on open connections that work when new ones are refused")
{
    constexpr milliseconds SlowResponse{1000};
    HostGroup group(HostCount, [&](const std::string &id, const std::string &request) {
        const auto fields = "X-Id: " + fieldOf(request, "X-Id") + "\r\n";
        RawResponse response{makeResponse(std::string(state::RecordBytes, 'r'), id, fields)};
        response.delay =
                request.find("/slow") == std::string::npos ? milliseconds(3) : SlowResponse;
        return response;
    });
    waitUntilServing(group);
    std::vector<std::unique_ptr<LoopingCaller>> callers;
    for (int i = 0; i < 4; ++i)
        callers.push_back(std::make_unique<LoopingCaller>(group, CutHost));
    std::this_thread::sleep_for(milliseconds(500));
    RawCaller waiting(group.frontPort(CutHost));
    waiting.send(HostGroup::makeRequest("/one/slow"));
    std::this_thread::sleep_for(milliseconds(100));
    group.setPath(CutHost, ProxyMode::RefuseNew);
    CHECK(statusOf(waiting.receive()) == 200);
    std::this_thread::sleep_for(ContactTime);
    for (const auto &caller : callers)
        CHECK(caller->failed() == 0);
}

// Guards against a host that goes back to its older configuration after it has handed out an answer
// of a newer one.
TEST_CASE("a host with an older configuration does not go back to it after it passed requests on")
{
    HostGroup group(HostCount, {}, CutHost);
    waitUntilServing(group);
    CHECK(statusOf(group.call(CutHost, "/new/1")) == 404);
    const LoopingCaller caller(group, CutHost);
    group.setPath(CutHost, ProxyMode::PartitionRefusing);
    waitUntilPathLost(group, CutHost, true);
    CHECK(statusOf(group.call(CutHost, "/one/1")) == 200);
    CHECK(statusOf(group.call(CutHost, "/new/1")) == 503);
    group.setPath(CutHost, ProxyMode::Pass);
    waitUntilPathLost(group, CutHost, false);
    std::this_thread::sleep_for(state::UpstreamReachability::RecoveryTime);
    const auto passedOn = group.passedOnCount(CutHost);
    CHECK(group.waitUntil([&] { return group.passedOnCount(CutHost) > passedOn; }));
    CHECK(statusOf(group.call(CutHost, "/new/1")) == 503);
}
