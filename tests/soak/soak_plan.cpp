#include "tests/soak/soak_plan.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace persimmon::tests {

namespace {

constexpr int LeastKinds = 2;
constexpr int MostKinds = 7;
constexpr int LeastFaults = 4;
constexpr int MostFaults = 14;
constexpr int LeastLengthMs = 200;
constexpr int MostLengthMs = 4000;
/// One fault in three begins together with the one before.
constexpr int SeriesChance = 3;

int pick(std::mt19937 &random, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(random);
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

std::vector<Fault> makeSoakPlan(std::uint32_t seed, std::chrono::milliseconds span, int hosts,
                                const std::vector<std::string> &upstreams)
{
    std::mt19937 random(seed);
    std::vector<FaultKind> kinds;
    for (const auto &row : FaultKindNames)
        kinds.push_back(row.value);
    std::shuffle(kinds.begin(), kinds.end(), random);
    kinds.resize(static_cast<std::size_t>(pick(random, LeastKinds, MostKinds)));
    std::vector<Fault> plan;
    const int count = pick(random, LeastFaults, MostFaults);
    for (int i = 0; i < count; ++i) {
        Fault fault;
        fault.kind = kinds.at(
                static_cast<std::size_t>(pick(random, 0, static_cast<int>(kinds.size()) - 1)));
        fault.at = std::chrono::milliseconds(pick(random, 0, static_cast<int>(span.count())));
        if (!plan.empty() && pick(random, 1, SeriesChance) == 1)
            fault.at = plan.back().at;
        fault.length = std::chrono::milliseconds(pick(random, LeastLengthMs, MostLengthMs));
        fault.host = pick(random, 1, hosts);
        fault.upstream = upstreams.at(
                static_cast<std::size_t>(pick(random, 0, static_cast<int>(upstreams.size()) - 1)));
        plan.push_back(fault);
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const Fault &left, const Fault &right) { return left.at < right.at; });
    return plan;
}

std::string describePlan(const std::vector<Fault> &plan)
{
    std::ostringstream text;
    for (const auto &fault : plan) {
        text << "  " << fault.at.count() << " ms, for " << fault.length.count()
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
