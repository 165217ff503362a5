#include "tests/system/platform_checks.h"

#include <atomic>
#include <cstdlib>
#include <deque>
#include <thread>
#include <vector>

using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int HostCount = 4;
constexpr seconds ContactTime{4};
constexpr seconds Window{4};
constexpr seconds MeasuredTime{6};
constexpr double LimitExcess = 1.5;
constexpr double LimitSlack = 5;
/// Requests for which a paused upstream is excused.
constexpr std::size_t PauseSlack = 2;
constexpr milliseconds PauseReaction{500};
constexpr milliseconds DrainTime{3000};
/// Time in which a request that cannot be served must be rejected.
constexpr milliseconds RejectTime{250};

/// Upstreams that add header fields to their responses.
class StatingUpstreams
{
public:
    RawResponse handle(const std::string &id, const std::string &request)
    {
        const std::lock_guard lock(mutex_);
        arrivals_[id].push_back(Clock::now());
        const auto &statement = statements_[id];
        const auto fields = "X-Response-Stamp: " + id.substr(0, 1) + "\r\nX-Request-Id: "
                            + fieldOf(request, "X-Request-Id") + "\r\n" + statement.fields;
        RawResponse response{statement.refuses
                                     ? makeResponse("", "", fields + "X-Not-Executed: 1\r\n", 503)
                                     : makeResponse(std::string(16, id.front()), "", fields)};
        response.delay = milliseconds(5);
        return response;
    }

    /// Sets the fields of all further responses of an upstream.
    void state(const std::string &id, const std::string &fields, bool refuses = false)
    {
        const std::lock_guard lock(mutex_);
        statements_[id] = {fields, refuses};
    }

    /// @return the requests that an upstream received after @p begin and before @p end.
    std::size_t countBetween(const std::string &id, Clock::time_point begin, Clock::time_point end)
    {
        const std::lock_guard lock(mutex_);
        const auto &times = arrivals_[id];
        return static_cast<std::size_t>(
                std::count_if(times.begin(), times.end(),
                              [&](const auto &at) { return at > begin && at < end; }));
    }

    /// @return the most requests that an upstream received in any Window after @p begin.
    std::size_t mostInWindow(const std::string &id, Clock::time_point begin)
    {
        const std::lock_guard lock(mutex_);
        std::deque<Clock::time_point> recent;
        std::size_t most = 0;
        for (const auto &at : arrivals_[id]) {
            if (at < begin)
                continue;
            recent.push_back(at);
            while (recent.front() < at - Window)
                recent.pop_front();
            most = std::max(most, recent.size());
        }
        return most;
    }

private:
    struct Statement
    {
        std::string fields;
        bool refuses = false;
    };

    std::mutex mutex_;
    std::map<std::string, Statement> statements_;
    std::map<std::string, std::vector<Clock::time_point>> arrivals_;
};

/// Hosts under load on one route.
class RestrictionRig
{
public:
    RestrictionRig() : cluster_(makeOptions()) { waitUntilAllListed(cluster_); }

    ~RestrictionRig()
    {
        running_ = false;
        for (auto &caller : callers_)
            caller.join();
    }

    RestrictionRig(const RestrictionRig &) = delete;
    RestrictionRig &operator=(const RestrictionRig &) = delete;

    PlatformCluster &cluster() { return cluster_; }
    StatingUpstreams &upstreams() { return upstreams_; }

    /// Sends requests with @p prefix to all hosts until the end of the test.
    void startCallers(const std::string &prefix)
    {
        for (int host = 1; host <= HostCount; ++host)
            callers_.emplace_back([this, host, prefix] { callHost(host, prefix); });
    }

    int servedCount() const { return served_; }
    int lateRejectionCount() const { return lateRejections_; }
    int rejectionsWithoutTime() const { return rejectionsWithoutTime_; }

private:
    PlatformClusterOptions makeOptions()
    {
        PlatformClusterOptions options;
        options.hostCount = HostCount;
        options.requestHandler = [this](const std::string &id, const std::string &request) {
            return upstreams_.handle(id, request);
        };
        return options;
    }

    void callHost(int host, const std::string &prefix)
    {
        for (int i = 0; running_; ++i) {
            const auto begin = Clock::now();
            const auto response = cluster_.call(host, prefix + std::to_string(i));
            if (statusOf(response) == 200)
                ++served_;
            else if (statusOf(response) == 503 && fieldOf(response, "Retry-After").empty())
                ++rejectionsWithoutTime_;
            else if (statusOf(response) == 503 && Clock::now() - begin > RejectTime)
                ++lateRejections_;
            std::this_thread::sleep_for(milliseconds(15));
        }
    }

    StatingUpstreams upstreams_;
    PlatformCluster cluster_;
    std::atomic<bool> running_ = true;
    std::atomic<int> served_ = 0;
    std::atomic<int> lateRejections_ = 0;
    std::atomic<int> rejectionsWithoutTime_ = 0;
    std::vector<std::thread> callers_;
};

/// States a limit at some upstreams, and checks their load while a host restarts.
void checkLimits(RestrictionRig &rig, const std::vector<std::string> &limited, double limit)
{
    const auto fields = "Server-Limit: " + std::to_string(limit) + "\r\n";
    for (const auto &id : limited)
        rig.upstreams().state(id, fields);
    const auto begin = Clock::now() + ContactTime;
    std::this_thread::sleep_for(ContactTime);
    rig.cluster().process(2).kill();
    rig.cluster().startHost(2);
    std::this_thread::sleep_for(MeasuredTime);
    const auto seconds = std::chrono::duration<double>(Window).count();
    const auto allowed = LimitExcess * limit * seconds + LimitSlack;
    for (const auto &id : limited) {
        const auto most = static_cast<double>(rig.upstreams().mostInWindow(id, begin));
        CHECK_MESSAGE(most <= allowed, id);
        // A limit that nobody uses up serves nobody either.
        CHECK_MESSAGE(most >= 1, id);
    }
}

} // namespace

// Guards against hosts that do not read the limit, or that each use all of it.
TEST_CASE("an upstream gets no more requests than the limit that it states")
{
    RestrictionRig rig;
    rig.startCallers("/one/");
    SUBCASE("the other upstream takes the rest")
    {
        checkLimits(rig, {"p1"}, 10);
        CHECK(rig.lateRejectionCount() == 0);
    }
    SUBCASE("all upstreams state a limit")
    {
        checkLimits(rig, {"p1", "p2"}, 10);
        CHECK(rig.lateRejectionCount() == 0);
        CHECK(rig.rejectionsWithoutTime() == 0);
    }
    SUBCASE("less than one request per second and host")
    {
        checkLimits(rig, {"p1", "p2"}, 0.8);
    }
}

TEST_CASE("shards get no more requests than the limits that they state")
{
    RestrictionRig rig;
    rig.startCallers("/g/");
    checkLimits(rig, {"a1", "a2"}, 10);
    CHECK(rig.lateRejectionCount() == 0);
    // Both limits can be used up by whole queries only if a query is rejected before its first
    // part.
    CHECK(rig.servedCount() > 0);
}

// Guards against a limit that outlives the statement of its upstream.
TEST_CASE("a limit ends with the first response without it")
{
    RestrictionRig rig;
    rig.startCallers("/one/");
    for (const std::string id : {"p1", "p2"})
        rig.upstreams().state(id, "Server-Limit: 2\r\n");
    std::this_thread::sleep_for(seconds(3));
    for (const std::string id : {"p1", "p2"})
        rig.upstreams().state(id, "");
    std::this_thread::sleep_for(ContactTime);
    const auto begin = Clock::now();
    std::this_thread::sleep_for(seconds(2));
    CHECK(rig.upstreams().countBetween("p1", begin, Clock::now())
                  + rig.upstreams().countBetween("p2", begin, Clock::now())
          > 100);
}

// Guards against requests to an upstream that has asked each host for a pause.
TEST_CASE("upstreams that turn requests away for a time get none from any host")
{
    constexpr seconds Pause{3};
    RestrictionRig rig;
    rig.startCallers("/one/");
    std::this_thread::sleep_for(seconds(1));
    rig.upstreams().state("p1", "Retry-After: " + std::to_string(Pause.count()) + "\r\n", true);
    const auto begin = Clock::now() + PauseReaction;
    std::this_thread::sleep_for(Pause);
    CHECK(rig.upstreams().countBetween("p1", begin, Clock::now()) <= PauseSlack * HostCount);
    CHECK(rig.lateRejectionCount() == 0);
    CHECK(rig.servedCount() > 0);
}

// Guards against requests to an upstream that shuts down before the store knows of it.
TEST_CASE("upstreams that say that they are leaving get no request after the drain time")
{
    RestrictionRig rig;
    rig.startCallers("/one/");
    std::this_thread::sleep_for(seconds(1));
    rig.upstreams().state("p1", "Server-Leaving: 1\r\n");
    std::this_thread::sleep_for(DrainTime);
    const auto begin = Clock::now();
    const auto served = rig.servedCount();
    // Neither an expired nor a returning registration of the same run changes that.
    rig.cluster().deregisterUpstream("p1");
    std::this_thread::sleep_for(seconds(1));
    rig.cluster().registerUpstream("p1", "ready");
    std::this_thread::sleep_for(seconds(1));
    CHECK(rig.upstreams().countBetween("p1", begin, Clock::now()) == 0);
    CHECK(rig.servedCount() > served);
    rig.upstreams().state("p1", "");
    rig.cluster().registerRestart("p1");
    const auto restarted = Clock::now();
    CHECK(rig.cluster().waitUntil(
            [&] { return rig.upstreams().countBetween("p1", restarted, Clock::now()) > 0; }));
}
