#include "tests/system/platform_checks.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <set>
#include <thread>
#include <vector>

using namespace persimmon::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int HostCount = 6;
constexpr const char *Removed = "p1";
constexpr milliseconds DrainTime{3000};
constexpr milliseconds ApplyTime{3000};
/// Longer than DrainTime, and shorter than the time after which hosts count as dead.
constexpr milliseconds FreezeTime{3400};
constexpr milliseconds FreezeLead{100};
constexpr seconds StopTime{6};
/// Time after a fault from which all hosts are in touch again.
constexpr seconds ContactTime{4};
constexpr milliseconds RequestInterval{20};

/// Path of the program of another version.
constexpr const char *OtherHostVariable = "PERSIMMON_OTHER_HOST";

/// @return the program of another version; the own one if none is given.
std::string otherProgram()
{
    const char *path = std::getenv(OtherHostVariable);
    return path == nullptr ? std::string(PERSIMMON_BINARY_DIR) + "/persimmon-host" : path;
}

/// Hosts of two versions under load, of which one after the other is replaced.
class MixedCluster
{
public:
    /// @param fromOther whether the hosts are of the other version at first.
    explicit MixedCluster(bool fromOther) : fromOther_(fromOther), cluster_(makeOptions())
    {
        for (int host = 1; host <= HostCount; ++host)
            REQUIRE_MESSAGE(cluster_.waitUntilReady(host), cluster_.lastLogLine(host));
        for (int host = 1; host <= HostCount; ++host)
            callers_.emplace_back([this, host] { callHost(host); });
    }

    ~MixedCluster()
    {
        running_ = false;
        for (auto &caller : callers_)
            caller.join();
    }

    MixedCluster(const MixedCluster &) = delete;
    MixedCluster &operator=(const MixedCluster &) = delete;

    /// @return whether the hosts of another version were given.
    static bool hasOtherVersion() { return std::getenv(OtherHostVariable) != nullptr; }

    /// Stops a host and starts it again with the program of the other version.
    void replace(int host)
    {
        beginFault(host);
        cluster_.process(host).signal(SIGTERM);
        REQUIRE(cluster_.process(host).waitForExit(StopTime));
        replaced_.insert(host);
        cluster_.startHost(host);
        REQUIRE_MESSAGE(cluster_.waitUntilReady(host), cluster_.lastLogLine(host));
        away_.at(host) = false;
    }

    /// Stops the processes of some hosts for some time, and removes an upstream meanwhile.
    void freezeDuringRemoval(const std::set<int> &hosts)
    {
        for (const int host : hosts) {
            beginFault(host);
            cluster_.process(host).signal(SIGSTOP);
        }
        const auto frozenAt = Clock::now();
        std::this_thread::sleep_for(FreezeLead);
        cluster_.deregisterUpstream(Removed);
        const auto removedAt = Clock::now();
        std::this_thread::sleep_until(removedAt + DrainTime);
        const auto before = requestsOfOwnHosts(hosts);
        std::this_thread::sleep_until(frozenAt + FreezeTime);
        CHECK(requestsOfOwnHosts(hosts) == before);
        for (const int host : hosts) {
            cluster_.process(host).signal(SIGCONT);
            away_.at(host) = false;
        }
        cluster_.registerRestart(Removed);
    }

    /// Writes a configuration and checks that all hosts apply it in time.
    void checkConfigApplies(std::uint64_t version)
    {
        const auto prefix = "/v" + std::to_string(version) + "/";
        cluster_.publishConfig(version, prefix);
        CHECK(cluster_.waitUntil(
                [&] {
                    for (int host = 1; host <= HostCount; ++host) {
                        if (statusOf(cluster_.call(host, prefix + "q")) != 200)
                            return false;
                    }
                    return true;
                },
                ApplyTime));
    }

    /// Removes an upstream and checks that no host uses it too long.
    void checkRemoval()
    {
        cluster_.deregisterUpstream(Removed);
        std::this_thread::sleep_for(DrainTime);
        const auto before = cluster_.receivedRequestCount(Removed);
        std::this_thread::sleep_for(seconds(1));
        CHECK(cluster_.receivedRequestCount(Removed) == before);
        cluster_.registerRestart(Removed);
    }

    /// @return the number of requests that were executed twice although they may not be repeated.
    int repeatedCount() const
    {
        int count = 0;
        for (const auto &[id, executions] : cluster_.executionCounts())
            count += id.starts_with(OncePrefix) && executions > 1 ? 1 : 0;
        return count;
    }

    int servedCount() const { return served_; }
    int failedCount() const { return failed_; }

private:
    static constexpr const char *OncePrefix = "once-";
    static constexpr const char *AnyPrefix = "any-";

    bool isOwnVersion(int host) const { return replaced_.contains(host) == fromOther_; }

    /// @return number of requests that the removed upstream received from hosts of the own version,
    ///         since those of earlier ones may break the rule.
    std::size_t requestsOfOwnHosts(const std::set<int> &without) const
    {
        std::size_t count = 0;
        for (int host = 1; host <= HostCount; ++host) {
            if (!isOwnVersion(host) || without.contains(host))
                continue;
            for (const auto *prefix : {OncePrefix, AnyPrefix})
                count +=
                        cluster_.receivedRequestCount(Removed, prefix + std::to_string(host) + "-");
        }
        return count;
    }

    void beginFault(int host)
    {
        away_.at(host) = true;
        ++faults_.at(host);
    }

    PlatformClusterOptions makeOptions()
    {
        PlatformClusterOptions options;
        options.hostCount = HostCount;
        options.hasRegions = true;
        options.programFor = [this](int host) {
            return isOwnVersion(host) ? std::string(PERSIMMON_BINARY_DIR) + "/persimmon-host"
                                      : otherProgram();
        };
        return options;
    }

    void callHost(int host)
    {
        for (int i = 0; running_; ++i) {
            std::this_thread::sleep_for(RequestInterval);
            if (away_.at(host))
                continue;
            const int faults = faults_.at(host);
            const auto suffix = std::to_string(host) + "-" + std::to_string(i);
            const auto response =
                    i % 2 == 0 ? cluster_.callWithId(OncePrefix + suffix, host, "/pay/q", "POST")
                               : cluster_.callWithId(AnyPrefix + suffix, host, "/one/q");
            // A host that was stopped or frozen meanwhile may leave its callers without an answer.
            if (statusOf(response) == 200)
                ++served_;
            else if (faults_.at(host) == faults)
                ++failed_;
        }
    }

    const bool fromOther_;
    std::set<int> replaced_;
    std::array<std::atomic<bool>, HostCount + 1> away_{};
    std::array<std::atomic<int>, HostCount + 1> faults_{};
    std::atomic<bool> running_ = true;
    std::atomic<int> served_ = 0;
    std::atomic<int> failed_ = 0;
    PlatformCluster cluster_;
    std::vector<std::thread> callers_;
};

} // namespace

// Guards against hosts of one version that mislead those of another one while a deployment is
// upgraded or goes back. Run by misc/check_mixed_builds.sh with the host of an earlier commit.
TEST_CASE("hosts of two versions keep all promises while one after the other is replaced")
{
    bool fromOther = false;
    SUBCASE("upgrade")
    {
        fromOther = true;
    }
    SUBCASE("back")
    {
        fromOther = false;
    }
    MixedCluster mixed(fromOther);
    std::uint64_t version = 1;
    // With one version only, one step shows that the case itself works.
    const int replacedCount = MixedCluster::hasOtherVersion() ? HostCount : 1;
    for (int host = 1; host <= replacedCount; ++host) {
        mixed.replace(host);
        std::this_thread::sleep_for(ContactTime);
        mixed.checkConfigApplies(++version);
        mixed.checkRemoval();
        mixed.freezeDuringRemoval({1 + host % HostCount, 1 + (host + 1) % HostCount});
        std::this_thread::sleep_for(ContactTime);
        mixed.checkConfigApplies(++version);
    }
    MESSAGE("served " << mixed.servedCount() << ", failed " << mixed.failedCount());
    CHECK(mixed.failedCount() == 0);
    CHECK(mixed.repeatedCount() == 0);
}
