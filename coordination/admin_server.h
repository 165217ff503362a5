#pragma once

#include "coordination/audit_trail.h"
#include "transport/transport.h"

#include <functional>
#include <memory>

namespace persimmon::coordination {

/// Options of the admin server.
struct AdminOptions
{
    /// Names of the program and of its host in the `status` result.
    std::string program;
    std::string host;
    /// Returns the current view, or null before the first complete view.
    std::function<std::shared_ptr<const state::ClusterView>()> view;
    /// Returns the audit trail of this process.
    std::function<std::vector<AuditRow>()> audit;
    /// Adds members specific to the daemon to the `status` result; optional.
    std::function<void(Json::Value &)> addStatusMembers;
    /// Registers JSON-RPC methods specific to the daemon; optional.
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

    /// @return the bound endpoint, or BindFailed.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    void close();

private:
    struct State;
    std::shared_ptr<State> state_;
    std::unique_ptr<transport::HttpServer> server_;
};

} // namespace persimmon::coordination
