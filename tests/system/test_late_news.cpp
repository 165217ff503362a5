#include "tests/support/fault_proxy.h"
#include "tests/system/platform_checks.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Clock = std::chrono::steady_clock;

/// Two hosts in each of three regions: one reads the store, the other one follows it.
constexpr int HostCount = 6;
constexpr int RegionCount = 3;
constexpr const char *Removed = "p1";
/// Time after the store has accepted a removal from which the upstream may get no request.
constexpr milliseconds DrainTime{3000};
/// Time for which a fault lasts. Shorter than the time after which hosts count as dead.
constexpr milliseconds FaultTime{3400};
constexpr milliseconds FaultLead{100};
/// Longer than the time from which a host that stands still forgets what it knows of the store.
constexpr milliseconds StallTime{1200};
constexpr int Rounds = 3;
/// Time after a fault from which all hosts are in touch again.
constexpr seconds ContactTime{4};
constexpr milliseconds RequestInterval{20};
/// Longer than the time between two calls of a host that reads the store.
constexpr milliseconds ReaderProbeTime{2500};

PlatformClusterOptions makeOptions(int hostCount, bool hasRegions)
{
    PlatformClusterOptions options;
    options.hostCount = hostCount;
    options.hasRegions = hasRegions;
    options.serviceOf = {{"a1", "shard-a"}, {"b1", "shard-b"}, {Removed, "pay"}};
    return options;
}

/// Requests to one service from all hosts, and when they reached its only upstream.
class ArrivalRecorder
{
public:
    /// @param hasRegions whether the hosts are of RegionCount regions, or all of one.
    explicit ArrivalRecorder(int hostCount = HostCount, bool hasRegions = true)
        : cluster_(withHandler(makeOptions(hostCount, hasRegions)))
    {
        for (int host = 1; host <= hostCount; ++host)
            REQUIRE_MESSAGE(cluster_.waitUntilReady(host), cluster_.lastLogLine(host));
        REQUIRE(cluster_.waitUntil([&] {
            for (int host = 1; host <= hostCount; ++host) {
                if (metricOf(host, "persimmon_live_hosts") != hostCount)
                    return false;
            }
            return true;
        }));
    }

    PlatformCluster &cluster() { return cluster_; }

    double metricOf(int host, const std::string &name) const
    {
        std::istringstream lines(cluster_.metrics(host));
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + " "))
                return std::stod(line.substr(name.size()));
        }
        return 0;
    }

    /// @return the hosts that read the store themselves.
    std::vector<int> readers() const
    {
        std::map<int, double> before;
        for (int host = 1; host <= cluster_.hostCount(); ++host)
            before[host] = metricOf(host, "persimmon_store_calls_total");
        std::this_thread::sleep_for(ReaderProbeTime);
        std::vector<int> readers;
        for (int host = 1; host <= cluster_.hostCount(); ++host) {
            if (metricOf(host, "persimmon_store_calls_total") > before.at(host))
                readers.push_back(host);
        }
        REQUIRE(readers.size() >= RegionCount);
        return readers;
    }

    /// Sets the mode of the path from a host to the store.
    void setStorePath(int host, ProxyMode mode) { storePaths_.at(host)->setMode(mode); }

    /// Sends requests from all hosts but @p silent until @p end.
    void callUntil(Clock::time_point end, const std::set<int> &silent)
    {
        std::vector<std::thread> callers;
        for (int host = 1; host <= cluster_.hostCount(); ++host) {
            if (silent.contains(host))
                continue;
            callers.emplace_back([this, host, end] {
                while (Clock::now() < end) {
                    cluster_.call(host, "/one/q");
                    std::this_thread::sleep_for(RequestInterval);
                }
            });
        }
        for (auto &caller : callers)
            caller.join();
    }

    /// @return the age of the last arrival that came later than DrainTime after @p removedAt, or 0.
    milliseconds latestAfter(Clock::time_point removedAt)
    {
        const std::lock_guard lock(mutex_);
        milliseconds latest{0};
        for (const auto &at : arrivals_) {
            const auto age = std::chrono::floor<milliseconds>(at - removedAt);
            if (age > DrainTime)
                latest = std::max(latest, age);
        }
        return latest;
    }

    /// Removes the upstream, and checks that no host but @p frozen uses it too long.
    void checkRemoval(const std::set<int> &frozen)
    {
        checkChange([this] { cluster_.deregisterUpstream(Removed); }, frozen);
    }

    /// The same for an upstream that reports that it drains.
    void checkDrain(const std::set<int> &frozen)
    {
        checkChange([this] { cluster_.registerUpstream(Removed, "draining"); }, frozen);
    }

    /// Removes the upstream while hosts stand still, and registers it again.
    void checkRemovalDuringFreeze(const std::set<int> &frozen)
    {
        signal(frozen, SIGSTOP);
        checkRemoval(frozen);
        signal(frozen, SIGCONT);
        registerAgain();
    }

    /// Sends a signal to some hosts.
    void signal(const std::set<int> &hosts, int number)
    {
        for (const int host : hosts)
            cluster_.process(host).signal(number);
    }

    /// Registers the upstream again, once all hosts are in touch, and waits until all use it.
    void registerAgain()
    {
        std::this_thread::sleep_for(ContactTime);
        cluster_.registerRestart(Removed);
        for (int host = 1; host <= cluster_.hostCount(); ++host)
            REQUIRE(cluster_.waitUntil(
                    [&] { return statusOf(cluster_.call(host, "/one/q")) == 200; }));
    }

private:
    /// @param change makes the store accept that the upstream leaves.
    void checkChange(const std::function<void()> &change, const std::set<int> &frozen)
    {
        std::this_thread::sleep_for(FaultLead);
        const auto changedAt = Clock::now();
        change();
        callUntil(changedAt + FaultTime, frozen);
        CHECK(latestAfter(changedAt) == milliseconds(0));
    }

    PlatformClusterOptions withHandler(PlatformClusterOptions options)
    {
        options.storeAddressFor = [this](int host, const std::string &address) {
            auto &path = storePaths_[host];
            if (!path)
                path = std::make_unique<FaultProxy>(address);
            return path->address();
        };
        options.requestHandler = [this](const std::string & /*id*/, const std::string &request) {
            {
                const std::lock_guard lock(mutex_);
                arrivals_.push_back(Clock::now());
            }
            const auto fields = "X-Response-Stamp: s\r\nX-Request-Id: "
                                + fieldOf(request, "X-Request-Id") + "\r\n";
            return RawResponse{makeResponse("body", "", fields)};
        };
        return options;
    }

    std::mutex mutex_;
    std::vector<Clock::time_point> arrivals_;
    std::map<int, std::unique_ptr<FaultProxy>> storePaths_;
    PlatformCluster cluster_;
};

} // namespace

// Guards against hosts that count the time for which they keep a removed upstream from the moment
// at which they hear of the removal, however late that is.
TEST_CASE("a removed upstream is left in time although the hosts that others follow stand still")
{
    ArrivalRecorder recorder;
    for (int round = 0; round < Rounds; ++round) {
        const auto readers = recorder.readers();
        const std::set<int> frozen{readers[static_cast<std::size_t>(round) % readers.size()],
                                   readers[static_cast<std::size_t>(round + 1) % readers.size()]};
        recorder.checkRemovalDuringFreeze(frozen);
    }
}

// Guards against hosts that take the silence of all hosts that read the store for its outage.
TEST_CASE("a removed upstream is left in time although all hosts that read the store stand still")
{
    ArrivalRecorder recorder;
    for (int round = 0; round < Rounds; ++round) {
        const auto readers = recorder.readers();
        const std::set<int> frozen(readers.begin(), readers.end());
        recorder.checkRemovalDuringFreeze(frozen);
    }
}

// Guards against hosts that leave a removed upstream in time only on a fast machine.
TEST_CASE("a removed upstream is left in time although each call to the store is slow and hosts "
          "stall")
{
    ArrivalRecorder recorder;
    for (int host = 1; host <= HostCount; ++host)
        recorder.setStorePath(host, ProxyMode::Delay);
    for (int round = 0; round < Rounds; ++round) {
        const auto readers = recorder.readers();
        const std::set<int> frozen(readers.begin(), readers.end());
        int stalled = 1 + round;
        while (frozen.contains(stalled))
            ++stalled;
        recorder.signal(frozen, SIGSTOP);
        std::thread stall([&] {
            recorder.signal({stalled}, SIGSTOP);
            std::this_thread::sleep_for(StallTime);
            recorder.signal({stalled}, SIGCONT);
        });
        auto silent = frozen;
        silent.insert(stalled);
        recorder.checkRemoval(silent);
        stall.join();
        recorder.signal(frozen, SIGCONT);
        recorder.registerAgain();
    }
}

// Guards against a host whose source stands still and that then waits for another host which stands
// still as well.
TEST_CASE("a draining upstream is left in time although half of the hosts stand still")
{
    constexpr int AllHosts = 10;
    ArrivalRecorder recorder(AllHosts, false);
    const auto readers = recorder.readers();
    std::set<int> frozen(readers.begin(), readers.end());
    for (int host = 1; static_cast<int>(frozen.size()) < AllHosts / 2; ++host)
        frozen.insert(host);
    recorder.signal(frozen, SIGSTOP);
    recorder.checkDrain(frozen);
    recorder.signal(frozen, SIGCONT);
}

// Guards against hosts that take it for an outage of the store if it turns away only those that
// read it.
TEST_CASE("a removed upstream is left in time although the store turns away the hosts that read it")
{
    ArrivalRecorder recorder;
    for (int round = 0; round < Rounds; ++round) {
        const auto readers = recorder.readers();
        for (const int host : readers)
            recorder.setStorePath(host, ProxyMode::HoldFromTarget);
        recorder.checkRemoval({});
        for (const int host : readers) {
            recorder.setStorePath(host, ProxyMode::Reset);
            recorder.setStorePath(host, ProxyMode::Pass);
        }
        recorder.registerAgain();
    }
}
