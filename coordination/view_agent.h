#pragma once

#include "coordination/audit_trail.h"
#include "transport/transport.h"

#include <memory>
#include <vector>

namespace persimmon::coordination {

/// Options of a view agent.
struct ViewAgentOptions
{
    /// Name of this host.
    std::string host;
    /// Listening endpoint of this agent. All agents listen on the same port of their hosts.
    transport::Endpoint address;
    /// Endpoint of the configuration service, which also serves the host list.
    transport::Endpoint service;
    /// Agents to contact while the host list is unknown.
    std::vector<transport::Endpoint> peers;
    /// Mean interval between view exchanges with random peers.
    std::chrono::milliseconds exchangeInterval{1000};
};

/// Keeps the cluster view of one host up to date from the configuration service and from peers, and
/// serves it to the daemons of the host and to other agents.
class ViewAgent
{
public:
    /// @param metrics metrics of the process; must outlive the agent.
    ViewAgent(transport::Runtime &runtime, transport::Metrics &metrics, ViewAgentOptions options);
    ~ViewAgent();

    /// Starts the listener, the reads of the configuration service and the exchanges with peers.
    /// @return Ok, or BindFailed if the address is in use.
    Status<transport::TransportError> start();

    /// Closes the listener and makes all tasks end by their next timeout.
    void stop();

    /// @return whether the service or a ready peer has confirmed the view since the start or the
    ///         last pause of the process. After a pause also true once the rejoin timeout has
    ///         passed without a confirmation.
    bool isReady() const;

    /// @return the current view; complete only if isReady().
    std::shared_ptr<const state::ClusterView> view() const;

    const AuditTrail &audit() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace persimmon::coordination
