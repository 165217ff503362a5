#pragma once

#include "standin/deployment_simulator.h"

#include <boost/json/object.hpp>

namespace persimmon::standin {

/// HTTP control endpoint that injects faults and exposes counters.
///
/// POST /fault accepts {"kind":K,...}. Upstream faults apply to the upstreams that match all of the
/// members "upstream", "service", "group" and "failure_domain" that are present, or to every
/// upstream if none is; "on":false ends a fault. Kinds: slow {"delay_ms","factor","share"}, crash
/// {"down_ms"}, cold, silent {"connections":"open"|"all"}, shed, draining, false_health {"state"},
/// false_load {"value"}, replica_lag, clear (switches off all faults).
///
/// Kinds for the platform: publish {"group","keep_ms"}, repartition {"group","services","keep_ms"},
/// config_set {"key","value"}, config_delete {"key"}, host_put {"host","lag_ms"}, host_remove
/// {"name","lag_ms"}, config_down, config_stale, config_slow {"delay_ms"}, platform_copy,
/// platform_restore (goes back to the last copy and starts the next era).
///
/// GET /state returns the counters, GET /executions?request_id=R the executions of one request.
class ControlService
{
public:
    explicit ControlService(DeploymentSimulator &simulator);

    /// Starts listening on @p endpoint.
    /// @return the bound endpoint or the error of the bind.
    transport::TransportResult<transport::Endpoint> start(const transport::Endpoint &endpoint);

    /// Executes the command in the body of a POST /fault.
    /// @return the response object, or CommandInvalid.
    SimulatorResult<boost::json::object> executeCommand(const std::string &body);

    /// @return response body of GET /state.
    std::string stateJson();
    /// @return response body of GET /executions.
    std::string executionsJson(const std::string &requestId);

private:
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);

    DeploymentSimulator &simulator_;
    std::unique_ptr<transport::HttpServer> server_;
};

} // namespace persimmon::standin
