#include "coordination/coordination.h"
#include "dispatch/dispatch.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

#include <boost/asio/ip/address.hpp>

#include <random>

namespace asio = boost::asio;
using namespace persimmon;

namespace {

constexpr int StartFailure = 1;

void declareSettings(transport::Settings &settings)
{
    settings.addText("host", "name of this host", "");
    settings.addText("address", "IP number to listen on", "127.0.0.1",
                     [](const std::string &text) -> std::optional<std::string> {
                         boost::system::error_code error;
                         asio::ip::make_address(text, error);
                         if (!error)
                             return std::nullopt;
                         return "an IP number such as 127.0.1.1";
                     });
    settings.addInteger("port", "port for frames of entries", protocol::DispatchPort, 0, 65535);
    settings.addText("failure-domain", "failure domain of this host", "");
    settings.addEndpoint("agent", "agent of this host", "127.0.0.1:7300");
    settings.addEndpoint("service", "configuration service, asked when the agent is gone", "");
    settings.addEndpoint("admin", "admin and metrics HTTP; empty for none", "");
    settings.addInteger("threads", "threads that run handlers", 2, 1, 256);
    settings.addChoice("hedging", "whether hedges are sent", "on", {"on", "off"});
    settings.addChoice("ramp", "whether cold upstreams are ramped", "on", {"on", "off"});
    settings.addLogging();
    settings.require("host");
    settings.require("address");
}

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

dispatch::DispatchHooks makeHooks(coordination::ViewClient &views)
{
    dispatch::DispatchHooks hooks;
    hooks.currentView = [&views] { return views.view(); };
    hooks.needsRevalidation = [&views] { return views.needsRevalidation(); };
    hooks.revalidate = [&views](transport::Duration timeout) { return views.revalidate(timeout); };
    hooks.noteRevision = [&views](std::uint64_t revision) { views.noteRevision(revision); };
    hooks.reportQuarantine = [&views](std::uint64_t fingerprint, std::chrono::milliseconds time) {
        views.reportQuarantine(fingerprint, time);
    };
    return hooks;
}

coordination::AdminOptions makeAdminOptions(const transport::Settings &settings,
                                            coordination::ViewClient &views,
                                            dispatch::DispatchServer &server)
{
    coordination::AdminOptions options;
    options.program = "persimmon-dispatch";
    options.host = settings.text("host");
    options.view = [&views] { return views.view(); };
    options.audit = [] { return std::vector<coordination::AuditRow>(); };
    options.fillStatus = [&server, domain = settings.text("failure-domain")](Json::Value &status) {
        status["failure_domain"] = domain;
        status["dispatch"] = server.status();
    };
    options.addMethods = [&server](transport::RpcService &rpc) {
        rpc.add("ramps", [&server](const Json::Value &) { return server.ramps(); });
        rpc.add("services", [&server](const Json::Value &) { return server.services(); });
    };
    return options;
}

bool hasStarted(const transport::TransportResult<transport::Endpoint> &bound)
{
    if (isOk(bound)) {
        transport::logInfo("dispatch", "Listening.",
                           {{"address", transport::formatEndpoint(valueOf(bound))}});
        return true;
    }
    transport::logError("dispatch", errorOf(bound).message);
    return false;
}

asio::awaitable<void> shutDown(dispatch::DispatchServer &server, transport::Runtime &runtime)
{
    co_await server.drain();
    runtime.requestStop();
}

int run(const transport::Settings &settings)
{
    transport::Runtime runtime(static_cast<int>(settings.integer("threads")));
    transport::Metrics metrics;
    coordination::ViewClientOptions viewOptions;
    viewOptions.host = settings.text("host");
    viewOptions.agent = settings.endpoint("agent");
    if (!settings.isEmpty("service"))
        viewOptions.service = settings.endpoint("service");
    coordination::ViewClient views(runtime, viewOptions);
    const dispatch::DispatchOptions options{settings.text("host"), randomIncarnation(),
                                            settings.text("hedging") == "on",
                                            settings.text("ramp") == "on"};
    dispatch::DispatchServer server(runtime, metrics, options, makeHooks(views));
    views.onChange([&server](const state::ClusterView &) { server.onViewChanged(); });
    coordination::AdminServer admin(runtime, metrics, makeAdminOptions(settings, views, server));
    const transport::Endpoint endpoint(asio::ip::make_address(settings.text("address")),
                                       static_cast<std::uint16_t>(settings.integer("port")));
    if (!hasStarted(server.listen(endpoint)))
        return StartFailure;
    if (!settings.isEmpty("admin") && !hasStarted(admin.listen(settings.endpoint("admin"))))
        return StartFailure;
    views.start();
    runtime.onTermination([&] { runtime.spawn(shutDown(server, runtime)); });
    runtime.run();
    transport::logInfo("dispatch", "Ended.");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings("persimmon-dispatch",
                                 "Executes sub-requests on the upstreams of the services it owns.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    return run(settings);
}
