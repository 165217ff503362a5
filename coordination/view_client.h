#pragma once

#include "coordination/audit_trail.h"
#include "state/cluster_view.h"
#include "transport/transport.h"

#include <functional>
#include <memory>

namespace persimmon::coordination {

/// Options of a view client.
struct ViewClientOptions
{
    /// Name of this host.
    std::string host;
    /// Endpoint of the agent on this host.
    transport::Endpoint agent;
    /// Endpoint of the configuration service, read at a low rate while the agent does not reply.
    transport::Endpoint service;
    /// Delay between two requests to the agent.
    std::chrono::milliseconds interval{500};
};

/// Keeps a daemon's cluster view up to date by polling the agent on its host.
class ViewClient
{
public:
    ViewClient(transport::Runtime &runtime, ViewClientOptions options);
    ~ViewClient();

    /// Starts polling the agent.
    void start();

    /// @return the current view, or null before the first complete view.
    std::shared_ptr<const state::ClusterView> view() const;

    bool isReady() const { return view() != nullptr; }

    /// @return whether the event loop was paused for longer than LagMonitor::PauseThreshold and the
    ///         view has not been confirmed since. New work must wait for revalidate().
    bool needsRevalidation() const;

    /// Requests a confirmation of the view from the agent immediately.
    /// @return whether the view was confirmed within @p timeout.
    boost::asio::awaitable<bool> revalidate(transport::Duration timeout);

    /// Reports the configuration revision of a peer. A revision above that of the current view
    /// triggers an immediate request to the agent.
    void observePeerRevision(std::uint64_t revision);

    /// Adds a fingerprint to the quarantine list of this view; view exchanges propagate it to the
    /// other hosts.
    void reportQuarantine(std::uint64_t fingerprint, std::chrono::milliseconds duration);

    /// Announces the graceful shutdown of the entry on this host.
    void reportLeaving(std::uint64_t incarnation, std::chrono::milliseconds duration);

    /// Announces the incarnation and epoch of the entry on this host.
    void reportIncarnation(std::uint64_t incarnation, std::uint64_t epoch);

    /// Registers a callback that runs on the client's strand, first with the current view if there
    /// is one, then after each change of the view.
    void onChange(std::function<void(const state::ClusterView &)> hook);

    /// @return the audit trail of the configuration changes processed by this client.
    const AuditTrail &audit() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace persimmon::coordination
