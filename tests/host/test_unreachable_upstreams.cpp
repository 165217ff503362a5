#include "tests/host/host_group.h"

#include <doctest/doctest.h>

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
