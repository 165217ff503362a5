#pragma once

#include "tests/soak/fault_proxy.h"
#include "tests/soak/soak_ledger.h"
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
    using Clock = SoakLedger::Clock;

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
    /// The end of a fault or its beginning, in the order in which they are carried out.
    struct Step
    {
        Clock::time_point at;
        std::size_t fault = 0;
        bool begins = true;
    };
    class Caller;

    RawResponse answer(const std::string &upstream, const std::string &request);
    void writeConfig();
    std::vector<Step> makeSteps(Clock::time_point start) const;
    void carryOut(const Step &step);
    void beginHostFault(const Fault &fault);
    void endHostFault(const Fault &fault);
    void beginUpstreamFault(const Fault &fault);
    void endUpstreamFault(const Fault &fault);
    void beginStoreFault(const Fault &fault);
    void noteEndedProcesses();
    void recover();

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

    SoakLedger ledger_;
    std::mutex mutex_;
    std::set<std::string> losesAnswers_;
};

} // namespace persimmon::tests
