#pragma once

#include "coordination/audit_trail.h"
#include "state/cluster_view.h"
#include "transport/transport.h"

#include <functional>
#include <memory>

namespace persimmon::coordination {

/// Where a daemon gets its view from.
struct ViewClientOptions
{
    /// Name of this host.
    std::string host;
    transport::Endpoint agent;
    /// Configuration service, asked at a low rate while the agent does not answer.
    transport::Endpoint service;
    std::chrono::milliseconds interval{500};
};

/// A daemon's view of the cluster, kept current from the agent of its host.
class ViewClient
{
public:
    ViewClient(transport::Runtime &runtime, ViewClientOptions options);
    ~ViewClient();

    /// Begins to ask the agent.
    void start();

    /// @return the current view; null until the first complete one.
    std::shared_ptr<const state::ClusterView> view() const;

    bool isReady() const { return view() != nullptr; }

    /// @return whether the event loop was paused for more than a second and no confirmation has
    ///         come since. New work must wait for revalidate().
    bool needsRevalidation() const;

    /// Asks the agent now.
    /// @return whether the view was confirmed within @p timeout.
    boost::asio::awaitable<bool> revalidate(transport::Duration timeout);

    /// Tells the revision that a peer holds; a higher one makes the client ask its agent at once.
    void noteRevision(std::uint64_t revision);

    /// Adds a fingerprint to the quarantine list, here at once and everywhere by exchange.
    void reportQuarantine(std::uint64_t fingerprint, std::chrono::milliseconds duration);

    /// Announces the graceful shutdown of this host's entry.
    void reportLeaving(std::uint64_t incarnation, std::chrono::milliseconds duration);

    /// Announces incarnation and epoch of this host's entry.
    void reportIncarnation(std::uint64_t incarnation, std::uint64_t epoch);

    /// Calls @p hook with the current view, if there is one, and after each change of the view, on
    /// the client's strand.
    void onChange(std::function<void(const state::ClusterView &)> hook);

    /// @return the configuration changes that this client has merged.
    const AuditTrail &audit() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace persimmon::coordination
