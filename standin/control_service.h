#pragma once

#include "standin/stand_in.h"

#include <boost/json/object.hpp>

namespace persimmon::standin {

/// Control endpoint: faults on command and counters.
///
/// POST /fault takes {"kind":K,...}. Kinds for upstreams choose their targets by one of "upstream",
/// "service", "group" or "failure_domain" (all upstreams when none is given); "on":false ends a
/// fault:
/// slow {"delay_ms","factor","share"}, crash {"down_ms"}, cold, silent
/// {"connections":"open"|"all"}, shed, draining, false_health {"state"}, false_load {"value"},
/// replica_lag, clear (ends all). Kinds for the platform: publish {"group","keep_ms"}, repartition
/// {"group","services","keep_ms"}, config_set {"key","value"}, config_delete {"key"}, host_put
/// {"host","lag_ms"}, host_remove {"name","lag_ms"}, config_down, config_stale, config_slow
/// {"delay_ms"}.
///
/// GET /state gives the counters, GET /executions?request_id=R the executions of one request.
class ControlService
{
public:
    explicit ControlService(StandIn &standIn);

    transport::TransportResult<transport::Endpoint> start(const transport::Endpoint &endpoint);

    /// Executes the command of one POST /fault.
    /// @return the members of the answer, or CommandInvalid.
    StandinResult<boost::json::object> execute(const std::string &body);

    /// @return body of GET /state.
    std::string state();
    /// @return body of GET /executions.
    std::string executions(const std::string &requestId);

private:
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);

    StandIn &standIn_;
    std::unique_ptr<transport::HttpServer> server_;
};

} // namespace persimmon::standin
