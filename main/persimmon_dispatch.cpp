#include "coordination/coordination.h"
#include "dispatch/dispatch.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace asio = boost::asio;
using namespace persimmon;

namespace {

constexpr int ExitStartFailure = 1;

void declareSettings(transport::Settings &settings)
{
    coordination::addDaemonSettings(settings, protocol::DispatchPort);
    coordination::addViewSettings(settings);
    settings.addChoice("hedging", "whether hedged requests are sent", "on", {"on", "off"});
    settings.addNumber("hedge-quantile",
                       "latency quantile of a service after which a hedged request is sent",
                       state::DefaultHedgeQuantile, 0.5, 0.999);
    settings.addChoice("ramp", "whether the load of cold upstreams is increased gradually", "on",
                       {"on", "off"});
}

dispatch::DispatchHooks makeHooks(coordination::ViewClient &views)
{
    dispatch::DispatchHooks hooks;
    hooks.currentView = [&views] { return views.view(); };
    hooks.needsRevalidation = [&views] { return views.needsRevalidation(); };
    hooks.revalidate = [&views](transport::Duration timeout) { return views.revalidate(timeout); };
    hooks.onPeerRevision = [&views](std::uint64_t revision) {
        views.observePeerRevision(revision);
    };
    hooks.reportQuarantine = [&views](std::uint64_t fingerprint,
                                      std::chrono::milliseconds duration) {
        views.reportQuarantine(fingerprint, duration);
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
    options.audit = [&views] { return views.audit().rows(); };
    options.addStatusMembers = [&server,
                                domain = settings.text("failure-domain")](Json::Value &status) {
        status["failure_domain"] = domain;
        status["dispatch"] = server.status();
    };
    options.addMethods = [&server](transport::RpcService &rpc) {
        rpc.add("ramps", [&server](const Json::Value &) { return server.ramps(); });
        rpc.add("services", [&server](const Json::Value &) { return server.services(); });
    };
    return options;
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
    coordination::ViewClient views(runtime, coordination::viewClientOptions(settings));
    const dispatch::DispatchOptions options{settings.text("host"), coordination::makeIncarnation(),
                                            settings.text("hedging") == "on",
                                            settings.text("ramp") == "on",
                                            settings.number("hedge-quantile")};
    dispatch::DispatchServer server(runtime, metrics, options, makeHooks(views));
    views.onChange([&server](const state::ClusterView &) { server.onViewChanged(); });
    coordination::AdminServer admin(runtime, metrics, makeAdminOptions(settings, views, server));
    if (!coordination::logListenResult("dispatch",
                                       server.listen(coordination::daemonEndpoint(settings))))
        return ExitStartFailure;
    if (!settings.isEmpty("admin")
        && !coordination::logListenResult("admin", admin.listen(settings.endpoint("admin"))))
        return ExitStartFailure;
    views.start();
    runtime.onTermination([&] { runtime.spawn(shutDown(server, runtime)); });
    runtime.run();
    transport::logInfo("dispatch", "The dispatcher has stopped.");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings(
            "persimmon-dispatch",
            "Executes sub-requests on the upstreams of the services that it owns.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    return run(settings);
}
