#pragma once

#include "core/core.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::tests {

/// What is done to the system from outside.
enum class FaultKind {
    KillHost,
    /// SIGTERM, and SIGKILL after the grace time.
    StopHost,
    /// SIGSTOP and SIGCONT.
    PauseHost,
    /// SIGHUP.
    ReloadHost,
    StoreDown,
    /// The store forgets its history.
    StoreCompacted,
    /// The store turns one host away.
    StoreRefusesHost,
    /// Nothing passes from the store to one host.
    StoreHeld,
    /// The open connections of one host to the store fall silent for good.
    StoreSilent,
    UpstreamDelayed,
    UpstreamCrashed,
    /// Answers of one upstream stay on the way.
    UpstreamHeld,
    UpstreamSilent,
    /// The upstream registers as draining and comes back later.
    UpstreamDrained,
    /// The upstream is gone, and its address belongs to one of another service.
    AddressReused,
    /// One upstream runs requests and closes the connection in place of the answer.
    AnswersLost,
    ConfigChanged,
};

inline constexpr std::array<EnumName<FaultKind>, 17> FaultKindNames{{
        {FaultKind::KillHost, "kill_host"},
        {FaultKind::StopHost, "stop_host"},
        {FaultKind::PauseHost, "pause_host"},
        {FaultKind::ReloadHost, "reload_host"},
        {FaultKind::StoreDown, "store_down"},
        {FaultKind::StoreCompacted, "store_compacted"},
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

/// One fault of a plan.
struct Fault
{
    FaultKind kind = FaultKind::KillHost;
    /// Since the start of the run.
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    /// Host from 1, where the kind concerns one.
    int host = 1;
    /// Id of an upstream, where the kind concerns one.
    std::string upstream;
};

/// @return whether a fault of this kind concerns one host.
bool isHostFault(FaultKind kind);

/// @return whether a fault of this kind concerns one upstream.
bool isUpstreamFault(FaultKind kind);

/// Draws faults that overlap and come in series. Each plan uses a random part of the kinds, so that
/// some plans leave long stretches in which every promise with a time bound can be checked.
/// @param span faults begin within this time.
/// @return faults by time.
std::vector<Fault> makeSoakPlan(std::uint32_t seed, std::chrono::milliseconds span, int hosts,
                                const std::vector<std::string> &upstreams);

/// @return a line for each fault, for reports.
std::string describePlan(const std::vector<Fault> &plan);

} // namespace persimmon::tests
