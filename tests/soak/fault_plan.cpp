#include "tests/soak/fault_plan.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace persimmon::tests {

namespace {

constexpr int MinKinds = 2;
constexpr int MaxKinds = 7;
constexpr int MinFaults = 4;
constexpr int MaxFaults = 14;
constexpr int MinDurationMs = 200;
constexpr int MaxDurationMs = 4000;
/// One in this many faults starts at the same time as the fault generated before it.
constexpr int SimultaneousFaultOdds = 3;

int drawInteger(std::mt19937 &random, int min, int max)
{
    return std::uniform_int_distribution<int>(min, max)(random);
}

} // namespace

bool isHostFault(FaultKind kind)
{
    switch (kind) {
    case FaultKind::KillHost:
    case FaultKind::StopHost:
    case FaultKind::PauseHost:
    case FaultKind::ReloadHost:
    case FaultKind::StoreRefusesHost:
    case FaultKind::StoreHeld:
    case FaultKind::StoreSilent:
        return true;
    default:
        return false;
    }
}

bool isUpstreamFault(FaultKind kind)
{
    switch (kind) {
    case FaultKind::UpstreamDelayed:
    case FaultKind::UpstreamCrashed:
    case FaultKind::UpstreamHeld:
    case FaultKind::UpstreamSilent:
    case FaultKind::UpstreamDrained:
    case FaultKind::AddressReused:
    case FaultKind::AnswersLost:
        return true;
    default:
        return false;
    }
}

std::vector<Fault> makeFaultPlan(std::uint32_t seed, std::chrono::milliseconds startWindow,
                                 int hosts, const std::vector<std::string> &upstreams)
{
    std::mt19937 random(seed);
    std::vector<FaultKind> kinds;
    for (const auto &row : FaultKindNames)
        kinds.push_back(row.value);
    std::shuffle(kinds.begin(), kinds.end(), random);
    kinds.resize(static_cast<std::size_t>(drawInteger(random, MinKinds, MaxKinds)));
    std::vector<Fault> plan;
    const int count = drawInteger(random, MinFaults, MaxFaults);
    for (int i = 0; i < count; ++i) {
        Fault fault;
        fault.kind = kinds.at(static_cast<std::size_t>(
                drawInteger(random, 0, static_cast<int>(kinds.size()) - 1)));
        fault.startOffset = std::chrono::milliseconds(
                drawInteger(random, 0, static_cast<int>(startWindow.count())));
        if (!plan.empty() && drawInteger(random, 1, SimultaneousFaultOdds) == 1)
            fault.startOffset = plan.back().startOffset;
        fault.duration =
                std::chrono::milliseconds(drawInteger(random, MinDurationMs, MaxDurationMs));
        fault.host = drawInteger(random, 1, hosts);
        fault.upstream = upstreams.at(static_cast<std::size_t>(
                drawInteger(random, 0, static_cast<int>(upstreams.size()) - 1)));
        plan.push_back(fault);
    }
    std::stable_sort(plan.begin(), plan.end(), [](const Fault &left, const Fault &right) {
        return left.startOffset < right.startOffset;
    });
    return plan;
}

std::string formatFaultPlan(const std::vector<Fault> &plan)
{
    std::ostringstream text;
    for (const auto &fault : plan) {
        text << "  " << fault.startOffset.count() << " ms, for " << fault.duration.count()
             << " ms: " << enumName(FaultKindNames, fault.kind);
        if (isHostFault(fault.kind))
            text << " host " << fault.host;
        if (isUpstreamFault(fault.kind))
            text << " " << fault.upstream;
        text << "\n";
    }
    return text.str();
}

} // namespace persimmon::tests
