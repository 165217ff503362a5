#include "standin/control_service.h"

#include "standin/fault_commands.h"
#include "standin/request_target.h"

#include <boost/json.hpp>

#include <algorithm>

namespace asio = boost::asio;
namespace json = boost::json;

namespace persimmon::standin {

using transport::HttpRequest;
using transport::HttpResponse;

namespace {

json::value ageInMs(const std::optional<transport::TimePoint> &time, transport::TimePoint now)
{
    if (!time)
        return nullptr;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *time).count();
}

json::object encodeUpstream(const SimulatedUpstream &upstream, const UpstreamCounters &counters,
                            transport::TimePoint now)
{
    return {{"failure_domain", counters.failureDomain},
            {"service", upstream.settings().service},
            {"incarnation", upstream.incarnation()},
            {"cold", upstream.slots().isCold()},
            {"running", upstream.slots().running()},
            {"queued", upstream.slots().queued()},
            {"executions", counters.executions},
            {"refused", counters.refused},
            {"peak_warm", counters.peakWarm},
            {"peak_cold", counters.peakCold},
            {"peak_load", counters.peakLoad},
            {"crashes", counters.crashes},
            {"cold_overloads", counters.coldOverloads},
            {"last_request_age_ms", ageInMs(counters.lastRequest, now)}};
}

} // namespace

ControlService::ControlService(DeploymentSimulator &simulator) : simulator_(simulator) {}

transport::TransportResult<transport::Endpoint>
ControlService::start(const transport::Endpoint &endpoint)
{
    server_ = std::make_unique<transport::HttpServer>(
            simulator_.runtime(),
            [this](HttpRequest request) { return handle(std::move(request)); });
    return server_->listen(endpoint);
}

asio::awaitable<HttpResponse> ControlService::handle(HttpRequest request)
{
    const auto path = targetPath(request.target);
    if (request.method == "GET" && path == "/state")
        co_return HttpResponse{200, stateJson()};
    if (request.method == "GET" && path == "/executions")
        co_return HttpResponse{200, executionsJson(targetParameter(request.target, "request_id"))};
    if (request.method != "POST" || path != "/fault")
        co_return HttpResponse{404, R"({"error":"not_found"})"};
    const auto result = executeCommand(request.body);
    if (!isOk(result)) {
        const json::object error{{"error", enumName(SimulatorErrorNames, errorOf(result).code)},
                                 {"message", errorOf(result).message}};
        co_return HttpResponse{400, json::serialize(error)};
    }
    co_return HttpResponse{200, json::serialize(valueOf(result))};
}

SimulatorResult<json::object> ControlService::executeCommand(const std::string &body)
{
    boost::system::error_code error;
    const auto command = json::parse(body, error);
    if (error || !command.is_object())
        return SimulatorError{SimulatorErrorCode::CommandInvalid,
                              "request body is not a JSON object"};
    const auto *kind = command.as_object().if_contains("kind");
    if (kind == nullptr || !kind->is_string())
        return SimulatorError{SimulatorErrorCode::CommandInvalid,
                              "member \"kind\" is missing or not a string"};
    const auto handler = findFaultCommand(std::string_view(kind->as_string()));
    if (!handler) {
        return SimulatorError{SimulatorErrorCode::CommandInvalid,
                              "unknown command kind " + std::string(kind->as_string())};
    }
    try {
        return handler(simulator_, command.as_object());
    } catch (const std::exception &exception) {
        return SimulatorError{SimulatorErrorCode::CommandInvalid, exception.what()};
    }
}

std::string ControlService::stateJson()
{
    const auto now = simulator_.runtime().clock().now();
    json::object upstreams;
    std::map<std::string, std::optional<transport::TimePoint>> lastByDomain;
    std::uint64_t crashes = 0;
    std::uint64_t coldOverloads = 0;
    for (const auto *upstream :
         simulator_.upstreams([](const SimulatedUpstream &) { return true; })) {
        const auto &name = upstream->settings().name;
        const auto &counters = simulator_.log().counters(name);
        upstreams[name] = encodeUpstream(*upstream, counters, now);
        auto &last = lastByDomain[counters.failureDomain];
        last = std::max(last, counters.lastRequest);
        crashes += counters.crashes;
        coldOverloads += counters.coldOverloads;
    }
    json::object domains;
    for (const auto &[name, last] : lastByDomain)
        domains[name] = {{"last_request_age_ms", ageInMs(last, now)}};
    auto &platform = simulator_.platform();
    return json::serialize(
            json::object{{"executions", simulator_.log().total()},
                         {"crashes", crashes},
                         {"cold_overloads", coldOverloads},
                         {"config_revision", simulator_.store().revision()},
                         {"config_reads", platform.reads()},
                         {"config_reads_last_second", platform.readsInLastSecond()},
                         {"config_reads_peak_per_second", platform.peakReadsPerSecond()},
                         {"failure_domains", std::move(domains)},
                         {"upstreams", std::move(upstreams)}});
}

std::string ControlService::executionsJson(const std::string &requestId)
{
    json::array rows;
    for (const auto &record : simulator_.log().executions(requestId)) {
        rows.push_back({{"upstream", record.upstream},
                        {"shard", record.shard},
                        {"attempt", record.attempt},
                        {"snapshot", record.snapshot}});
    }
    return json::serialize(
            json::object{{"request_id", requestId}, {"count", rows.size()}, {"executions", rows}});
}

} // namespace persimmon::standin
