#include "host/host.h"
#include "platform/platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace asio = boost::asio;
using namespace persimmon;

namespace {

constexpr int StartFailure = 1;
constexpr int UsageFailure = 2;

std::string defaultSettingsPath()
{
    const char *path = std::getenv(platform::SettingsPathVariable);
    return path == nullptr ? platform::DefaultSettingsPath : path;
}

void declareSettings(transport::Settings &settings)
{
    settings.addText("settings-file", "file of the platform with the settings of this host",
                     defaultSettingsPath());
    settings.addInteger("metrics-port", "port of GET /metrics; 0 serves none", 0, 0, 65535);
    settings.addLogging();
}

/// @return the address for metrics: the IP address of the frontend with the metrics port; empty if
///         @p port is 0.
std::string metricsAddress(const std::string &frontendAddress, std::int64_t port)
{
    return port == 0 ? ""
                     : frontendAddress.substr(0, frontendAddress.rfind(':') + 1)
                               + std::to_string(port);
}

void reload(host::HostDaemon &daemon, const std::string &path)
{
    const auto loaded = platform::loadSettings(path);
    if (isOk(loaded))
        daemon.reload(valueOf(loaded).host);
    else
        transport::logError("host", "settings kept; the file is invalid",
                            {{"reason", errorOf(loaded).message}});
}

asio::awaitable<void> reloadOnHangup(transport::Runtime &runtime, host::HostDaemon &daemon,
                                     std::string path)
{
    asio::signal_set signals(runtime.context(), SIGHUP);
    while (true) {
        co_await signals.async_wait(asio::use_awaitable);
        reload(daemon, path);
    }
}

int run(const transport::Settings &settings)
{
    const auto path = settings.text("settings-file");
    auto loaded = platform::loadSettings(path);
    if (!isOk(loaded)) {
        std::cerr << "persimmon-host: " << path << ": " << errorOf(loaded).message << "\n";
        return UsageFailure;
    }
    auto file = takeValue(loaded);
    file.host.metricsAddress =
            metricsAddress(file.host.frontendAddress, settings.integer("metrics-port"));
    transport::Runtime runtime(1);
    transport::LogWriter logs(runtime);
    logs.install();
    transport::Metrics metrics;
    platform::StoreClient store(runtime, metrics, file.storeAddress);
    host::HostHooks hooks;
    hooks.store = store.hooks();
    hooks.decodeRecord = platform::decodeRecord;
    hooks.headerNames = platform::headerNames();
    hooks.parseLocateRequest = platform::parseLocateRequest;
    hooks.formatLocateResponse = platform::formatLocateResponse;
    host::HostDaemon daemon(runtime, metrics, file.host, hooks);
    const auto started = daemon.start();
    if (!isOk(started)) {
        transport::logError("host", "start failed", {{"reason", errorOf(started).message}});
        logs.flush();
        return StartFailure;
    }
    runtime.onTermination([&] { runtime.spawn(daemon.shutDown()); });
    runtime.spawn(reloadOnHangup(runtime, daemon, path));
    // The platform may change the file without a signal.
    host::FileWatcher watcher(runtime, path, [&] { reload(daemon, path); });
    watcher.start();
    runtime.run();
    logs.flush();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings("persimmon-host",
                                 "Serves callers on one entry host of the platform.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    return run(settings);
}
