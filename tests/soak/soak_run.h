#pragma once

#include "tests/soak/fault_plan.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/store_writers.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/platform_cluster.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// Runs the hosts of the platform as processes, injects the faults of a random plan, and checks the
/// observations of callers and upstreams. Callers keep their connections until these are closed.
class SoakRun
{
public:
    using Clock = InvariantChecker::Clock;

    /// @param requiredKinds see makeFaultPlan().
    explicit SoakRun(std::uint32_t seed, const std::vector<FaultKind> &requiredKinds = {});
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// Executes the plan and the recovery after it.
    /// @return violations of invariants, one line each.
    std::vector<std::string> run();

    /// @return number of responses with status 200.
    int successCount() const { return successCount_; }

    std::string describeFaults() const { return formatFaultPlan(plan_); }

private:
    /// Start or end of a fault.
    struct Step
    {
        Clock::time_point time;
        std::size_t fault = 0;
        bool starts = true;
    };
    class Caller;

    RawResponse handleRequest(const std::string &upstream, const std::string &request);
    void publishConfig();
    std::vector<Step> makeSchedule(Clock::time_point start) const;
    void execute(const Step &step);
    void startHostFault(const Fault &fault);
    void endHostFault(const Fault &fault);
    void startUpstreamFault(const Fault &fault);
    void endUpstreamFault(const Fault &fault);
    static bool changesRegistration(FaultKind kind);
    /// Registers the upstream as the faults that overlap with the ended one leave it.
    void restoreRegistration(const Fault &fault);
    void startStoreFault(const Fault &fault);
    void endStoreFault(const Fault &fault);
    void detectExitedProcesses();
    void recover();

    const std::uint32_t seed_;
    std::vector<std::string> upstreams_;
    std::vector<Fault> plan_;
    std::map<std::string, std::unique_ptr<FaultProxy>> upstreamProxies_;
    std::map<std::string, std::string> upstreamAddresses_;
    std::map<int, std::unique_ptr<FaultProxy>> storeProxies_;
    std::unique_ptr<PlatformCluster> cluster_;
    std::unique_ptr<StoreWriters> writers_;
    std::map<int, std::atomic<int>> incarnations_;
    std::set<int> expectedDown_;
    /// Faults in progress that change the registration of an upstream.
    std::map<std::string, std::multiset<FaultKind>> registrationFaults_;
    std::atomic<bool> running_ = true;
    std::atomic<int> successCount_ = 0;
    std::atomic<int> latestConfigVersion_ = 0;

    InvariantChecker checker_;
    std::mutex mutex_;
    std::set<std::string> upstreamsDroppingResponses_;
};

} // namespace persimmon::tests
