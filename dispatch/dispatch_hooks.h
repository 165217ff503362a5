#pragma once

#include "state/state.h"
#include "transport/transport.h"

#include <functional>
#include <memory>

namespace persimmon::dispatch {

/// Callbacks of the dispatcher into the coordination layer. All are callable from any thread.
struct DispatchHooks
{
    /// @return the current view; null until the first complete one has been received.
    std::function<std::shared_ptr<const state::ClusterView>()> currentView;
    /// @return whether new work must wait for revalidate(), since the process was paused.
    std::function<bool()> needsRevalidation = [] { return false; };
    /// Confirms the view. @return whether it was confirmed within the given time.
    std::function<boost::asio::awaitable<bool>(transport::Duration)> revalidate;
    /// Called with the configuration revision that a peer has reported.
    std::function<void(std::uint64_t)> onPeerRevision = [](std::uint64_t) {};
    /// Publishes a quarantined query fingerprint and the duration of the quarantine.
    std::function<void(std::uint64_t, std::chrono::milliseconds)> reportQuarantine =
            [](std::uint64_t, std::chrono::milliseconds) {};
};

/// Settings of a dispatcher.
struct DispatchOptions
{
    /// Name of this host in the configuration.
    std::string host;
    /// Random number that identifies this run of the process.
    std::uint64_t incarnation = 0;
    /// Whether slow attempts are hedged.
    bool hedging = true;
    /// Whether the load of cold upstreams is ramped up.
    bool ramp = true;
    /// A hedge is sent once an attempt exceeds this quantile of the service's latencies.
    double hedgeQuantile = state::DefaultHedgeQuantile;
};

} // namespace persimmon::dispatch
