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
constexpr int MaxRestoreDurationMs = 3000;
constexpr int MinCopyAgeMs = 1000;
constexpr int MaxCopyAgeMs = 9000;
/// One in this many restores of the store is followed by another one.
constexpr int RepeatedRestoreOdds = 2;
/// Longest time between the end of a restore and the next one.
constexpr int MaxRepeatDelayMs = 1000;
/// One in this many faults starts at the same time as the fault generated before it.
constexpr int SimultaneousFaultOdds = 3;

int drawInteger(std::mt19937 &random, int min, int max)
{
    return std::uniform_int_distribution<int>(min, max)(random);
}

void drawRestore(std::mt19937 &random, Fault &fault)
{
    fault.duration = std::chrono::milliseconds(drawInteger(random, 0, MaxRestoreDurationMs));
    fault.copyAge = std::chrono::milliseconds(drawInteger(random, MinCopyAgeMs, MaxCopyAgeMs));
}

/// Adds restores that follow other ones.
void repeatRestores(std::mt19937 &random, std::vector<Fault> &plan)
{
    const auto count = plan.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (plan[i].kind != FaultKind::StoreRestored
            || drawInteger(random, 1, RepeatedRestoreOdds) != 1)
            continue;
        auto fault = plan[i];
        fault.startOffset += fault.duration
                             + std::chrono::milliseconds(drawInteger(random, 0, MaxRepeatDelayMs));
        drawRestore(random, fault);
        plan.push_back(fault);
    }
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
                                 int hosts, const std::vector<std::string> &upstreams,
                                 const std::vector<FaultKind> &requiredKinds)
{
    std::mt19937 random(seed);
    std::vector<FaultKind> kinds;
    for (const auto &row : FaultKindNames)
        kinds.push_back(row.value);
    std::shuffle(kinds.begin(), kinds.end(), random);
    for (const auto required : requiredKinds)
        std::rotate(kinds.begin(), std::find(kinds.begin(), kinds.end(), required),
                    std::find(kinds.begin(), kinds.end(), required) + 1);
    kinds.resize(static_cast<std::size_t>(drawInteger(random, MinKinds, MaxKinds)));
    std::vector<Fault> plan;
    const int count = drawInteger(random, MinFaults, MaxFaults);
    for (int i = 0; i < count; ++i) {
        Fault fault;
        fault.kind = kinds.at(static_cast<std::size_t>(
                drawInteger(random, 0, static_cast<int>(kinds.size()) - 1)));
        if (plan.size() < requiredKinds.size())
            fault.kind = requiredKinds[plan.size()];
        fault.startOffset = std::chrono::milliseconds(
                drawInteger(random, 0, static_cast<int>(startWindow.count())));
        if (!plan.empty() && drawInteger(random, 1, SimultaneousFaultOdds) == 1)
            fault.startOffset = plan.back().startOffset;
        fault.duration =
                std::chrono::milliseconds(drawInteger(random, MinDurationMs, MaxDurationMs));
        fault.host = drawInteger(random, 1, hosts);
        fault.upstream = upstreams.at(static_cast<std::size_t>(
                drawInteger(random, 0, static_cast<int>(upstreams.size()) - 1)));
        if (fault.kind == FaultKind::StoreRestored)
            drawRestore(random, fault);
        plan.push_back(fault);
    }
    repeatRestores(random, plan);
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
        if (fault.kind == FaultKind::StoreRestored)
            text << " from a copy that is " << fault.copyAge.count() << " ms old";
        text << "\n";
    }
    return text.str();
}

} // namespace persimmon::tests
