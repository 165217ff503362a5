#pragma once

#include "coordination/audit_trail.h"
#include "transport/transport.h"

#include <functional>
#include <memory>

namespace persimmon::coordination {

/// What the admin server shows.
struct AdminOptions
{
    /// Name of the program and of its host, part of `status`.
    std::string program;
    std::string host;
    /// Current view; null while there is none.
    std::function<std::shared_ptr<const state::ClusterView>()> view;
    /// Audit trail of this process.
    std::function<std::vector<AuditRow>()> audit;
    /// Adds a daemon's own members to the answer of `status`.
    std::function<void(Json::Value &)> fillStatus;
    /// Adds a daemon's own methods.
    std::function<void(transport::RpcService &)> addMethods;
};

/// Admin HTTP server of a daemon: read-only JSON-RPC methods at POST /rpc (`status`,
/// `config_show`, `owners`, `audit`) and metrics at GET /metrics.
class AdminServer
{
public:
    /// @param metrics metrics of the process; must outlive the server.
    AdminServer(transport::Runtime &runtime, transport::Metrics &metrics, AdminOptions options);
    ~AdminServer();

    /// @return the endpoint in use, or BindFailed.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    void close();

private:
    struct State;
    std::shared_ptr<State> state_;
    std::unique_ptr<transport::HttpServer> server_;
};

} // namespace persimmon::coordination
