#pragma once

#include "coordination/audit_trail.h"
#include "transport/transport.h"

#include <memory>
#include <vector>

namespace persimmon::coordination {

/// Settings of an agent.
struct AgentOptions
{
    /// Name of this host.
    std::string host;
    /// Where this agent listens. The other agents listen on their hosts' addresses with the same
    /// port.
    transport::Endpoint address;
    /// Configuration service and host list.
    transport::Endpoint service;
    /// Agents to ask while the host list is unknown.
    std::vector<transport::Endpoint> peers;
    /// Time between two rounds of exchange with random peers.
    std::chrono::milliseconds exchangeInterval{1000};
};

/// Keeps the view of one host current and serves it to the daemons of the host and to other agents.
class Agent
{
public:
    /// @param metrics metrics of the process; must outlive the agent.
    Agent(transport::Runtime &runtime, transport::Metrics &metrics, AgentOptions options);
    ~Agent();

    /// Listens and begins to read the service and to exchange with peers.
    /// @return BindFailed when the address is in use.
    Status<transport::TransportError> start();

    /// Stops listening; all tasks end within their next timeout.
    void stop();

    /// @return whether the service or a ready peer has answered since the start or the last pause.
    bool isReady() const;

    /// @return the current view, complete only when the agent is ready.
    std::shared_ptr<const state::ClusterView> view() const;

    const AuditTrail &audit() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace persimmon::coordination
