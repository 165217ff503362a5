#pragma once

#include "state/state.h"
#include "transport/transport.h"

#include <functional>
#include <memory>

namespace persimmon::dispatch {

/// What the dispatcher needs from the coordination layer. All hooks are callable from any thread.
struct DispatchHooks
{
    /// @return the current view; null until the first complete one.
    std::function<std::shared_ptr<const state::ClusterView>()> currentView;
    /// @return whether new work must wait for revalidate().
    std::function<bool()> needsRevalidation = [] { return false; };
    /// @return whether the view was confirmed within the given time.
    std::function<boost::asio::awaitable<bool>(transport::Duration)> revalidate;
    /// Takes the configuration revision of a peer.
    std::function<void(std::uint64_t)> noteRevision = [](std::uint64_t) {};
    /// Takes a fingerprint to quarantine and for how long.
    std::function<void(std::uint64_t, std::chrono::milliseconds)> reportQuarantine =
            [](std::uint64_t, std::chrono::milliseconds) {};
};

/// Settings of a dispatcher.
struct DispatchOptions
{
    /// Name of this host.
    std::string host;
    /// Random number chosen at the start.
    std::uint64_t incarnation = 0;
    bool hedging = true;
    bool ramp = true;
    /// Quantile of a service's latencies after which a hedge is sent.
    double hedgeQuantile = state::DefaultHedgeQuantile;
};

} // namespace persimmon::dispatch
