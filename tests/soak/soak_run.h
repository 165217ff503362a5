#pragma once

#include "tests/soak/fault_proxy.h"
#include "tests/soak/soak_plan.h"
#include "tests/system/platform_cluster.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// Runs the hosts of the platform as processes under a plan of faults, with callers that keep their
/// connections until these end, and checks what callers and upstreams see.
class SoakRun
{
public:
    using Clock = std::chrono::steady_clock;

    explicit SoakRun(std::uint32_t seed);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// Plays the plan and the recovery.
    /// @return the broken promises, a line each; empty if all held.
    std::vector<std::string> play();

    /// @return requests of callers that were answered with success.
    int served() const { return served_; }

    std::string describe() const { return describePlan(plan_); }

private:
    /// A time in which something was done to a host or to the store.
    struct Disturbance
    {
        Clock::time_point from;
        Clock::time_point to;
    };
    /// One start of a request at an upstream.
    struct Arrival
    {
        std::string request;
        std::string upstream;
        Clock::time_point at;
    };
    /// What a caller sent and got.
    struct Attempt
    {
        std::string id;
        std::string target;
        int host = 0;
        int incarnation = 0;
        bool repeatable = true;
        Clock::time_point sentAt;
        Clock::time_point endedAt;
        int status = 0;
    };
    /// A time in which an upstream was registered as draining.
    struct Drain
    {
        std::string upstream;
        Clock::time_point from;
        Clock::time_point to;
    };
    /// The end of a fault or its beginning, in the order in which they are carried out.
    struct Step
    {
        Clock::time_point at;
        std::size_t fault = 0;
        bool begins = true;
    };
    class Caller;

    RawAnswer answer(const std::string &upstream, const std::string &request);
    void writeConfig();
    std::vector<Step> makeSteps(Clock::time_point start) const;
    void carryOut(const Step &step);
    void beginHostFault(const Fault &fault);
    void endHostFault(const Fault &fault);
    void beginUpstreamFault(const Fault &fault);
    void endUpstreamFault(const Fault &fault);
    void beginStoreFault(const Fault &fault);
    void disturb(int host, Clock::time_point from, Clock::time_point to);
    void noteEndedProcesses();
    void recover();
    void checkAnswer(const Attempt &attempt, const std::string &response);
    void checkVersion(const Attempt &attempt, int version);
    void checkRuns();
    void checkDrains();
    bool isInTouch(int host, Clock::time_point from, Clock::time_point to) const;
    void report(const std::string &line);

    const std::uint32_t seed_;
    std::vector<std::string> upstreams_;
    std::vector<Fault> plan_;
    std::map<std::string, std::unique_ptr<FaultProxy>> upstreamProxies_;
    std::map<std::string, std::string> upstreamAddresses_;
    std::map<int, std::unique_ptr<FaultProxy>> storeProxies_;
    std::unique_ptr<PlatformCluster> cluster_;
    std::map<int, std::atomic<int>> incarnations_;
    std::set<int> expectedDown_;
    std::atomic<bool> running_ = true;
    std::atomic<int> served_ = 0;
    std::atomic<int> newestVersion_ = 0;

    mutable std::mutex mutex_;
    std::set<std::string> losesAnswers_;
    std::vector<Clock::time_point> versionTimes_;
    /// Highest version that an incarnation of a host has served, and when that was first seen.
    std::map<std::pair<int, int>, std::pair<int, Clock::time_point>> versionsSeen_;
    std::map<int, std::vector<Disturbance>> disturbances_;
    std::vector<Arrival> arrivals_;
    std::vector<Attempt> attempts_;
    std::vector<Drain> drains_;
    std::vector<std::string> broken_;
};

} // namespace persimmon::tests
