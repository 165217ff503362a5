#pragma once

#include "core/core.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::tests {

/// Kind of a fault that a soak run injects.
enum class FaultKind {
    KillHost,
    /// SIGTERM, and SIGKILL after the grace time.
    StopHost,
    /// SIGSTOP and SIGCONT.
    PauseHost,
    /// SIGHUP.
    ReloadHost,
    StoreDown,
    /// The store discards its history of changes.
    StoreCompacted,
    /// The store is down for a moment and comes back from an older copy.
    StoreRestored,
    /// Connections of one host to the store are reset.
    StoreRefusesHost,
    /// Data from the store to one host is held back.
    StoreHeld,
    /// The open connections of one host to the store stop carrying data and stay open.
    StoreSilent,
    UpstreamDelayed,
    UpstreamCrashed,
    /// Responses of one upstream are held back.
    UpstreamHeld,
    UpstreamSilent,
    /// The upstream is registered as draining and later as ready.
    UpstreamDrained,
    /// The upstream is deregistered and its address is taken over by an upstream of another
    /// service.
    AddressReused,
    /// One upstream executes requests and closes the connection instead of responding.
    AnswersLost,
    ConfigChanged,
};

inline constexpr std::array<EnumName<FaultKind>, 18> FaultKindNames{{
        {FaultKind::KillHost, "kill_host"},
        {FaultKind::StopHost, "stop_host"},
        {FaultKind::PauseHost, "pause_host"},
        {FaultKind::ReloadHost, "reload_host"},
        {FaultKind::StoreDown, "store_down"},
        {FaultKind::StoreCompacted, "store_compacted"},
        {FaultKind::StoreRestored, "store_restored"},
        {FaultKind::StoreRefusesHost, "store_refuses_host"},
        {FaultKind::StoreHeld, "store_held"},
        {FaultKind::StoreSilent, "store_silent"},
        {FaultKind::UpstreamDelayed, "upstream_delayed"},
        {FaultKind::UpstreamCrashed, "upstream_crashed"},
        {FaultKind::UpstreamHeld, "upstream_held"},
        {FaultKind::UpstreamSilent, "upstream_silent"},
        {FaultKind::UpstreamDrained, "upstream_drained"},
        {FaultKind::AddressReused, "address_reused"},
        {FaultKind::AnswersLost, "answers_lost"},
        {FaultKind::ConfigChanged, "config_changed"},
}};

/// One scheduled fault.
struct Fault
{
    FaultKind kind = FaultKind::KillHost;
    /// Time since the start of the run.
    std::chrono::milliseconds startOffset{0};
    std::chrono::milliseconds duration{0};
    /// Number of the affected host, from 1; used if isHostFault(kind).
    int host = 1;
    /// Id of the affected upstream; used if isUpstreamFault(kind).
    std::string upstream;
    /// Age of the copy from which the store is restored; used for FaultKind::StoreRestored.
    std::chrono::milliseconds copyAge{0};
};

/// @return whether faults of this kind affect one host.
bool isHostFault(FaultKind kind);

/// @return whether faults of this kind affect one upstream.
bool isUpstreamFault(FaultKind kind);

/// Generates a random schedule of faults, some of which overlap or start at the same time. Each
/// plan uses a random subset of the kinds, so that some plans have long undisturbed periods, in
/// which every invariant with a time limit can be checked.
/// @param startWindow time within which all faults start.
/// @param hosts number of hosts.
/// @param requiredKinds at most two kinds of which the plan has at least one fault each.
/// @return faults in order of their start.
std::vector<Fault> makeFaultPlan(std::uint32_t seed, std::chrono::milliseconds startWindow,
                                 int hosts, const std::vector<std::string> &upstreams,
                                 const std::vector<FaultKind> &requiredKinds = {});

/// @return text with one line for each fault.
std::string formatFaultPlan(const std::vector<Fault> &plan);

} // namespace persimmon::tests
