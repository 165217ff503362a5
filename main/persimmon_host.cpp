#include "host/host.h"
#include "platform/platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace asio = boost::asio;
using namespace persimmon;

namespace {

constexpr int ExitStartFailure = 1;
constexpr int ExitUsageFailure = 2;

std::string defaultSettingsPath()
{
    const char *path = std::getenv(platform::SettingsPathVariable);
    return path == nullptr ? platform::DefaultSettingsPath : path;
}

void declareSettings(transport::Settings &settings)
{
    settings.addText("settings-file", "settings file that the platform writes for this host",
                     defaultSettingsPath());
    settings.addInteger("metrics-port", "port of GET /metrics; 0 disables it", 0, 0, 65535);
    settings.addLogging();
}

/// @return the IP address of @p frontendAddress with @p port; empty if @p port is 0.
std::string makeMetricsAddress(const std::string &frontendAddress, std::int64_t port)
{
    return port == 0 ? ""
                     : frontendAddress.substr(0, frontendAddress.rfind(':') + 1)
                               + std::to_string(port);
}

/// Applies the settings file at @p path; an invalid file leaves the settings unchanged.
void reloadSettings(host::HostDaemon &daemon, const std::string &path)
{
    const auto loaded = platform::loadSettings(path);
    if (isOk(loaded))
        daemon.reload(valueOf(loaded).host);
    else
        transport::logError("host", "the settings file is invalid; keeping the current settings",
                            {{"reason", errorOf(loaded).message}});
}

asio::awaitable<void> reloadOnHangup(transport::Runtime &runtime, host::HostDaemon &daemon,
                                     std::string path)
{
    asio::signal_set signals(runtime.context(), SIGHUP);
    while (true) {
        co_await signals.async_wait(asio::use_awaitable);
        reloadSettings(daemon, path);
    }
}

int run(const transport::Settings &settings)
{
    const auto path = settings.text("settings-file");
    auto loaded = platform::loadSettings(path);
    if (!isOk(loaded)) {
        std::cerr << "persimmon-host: " << path << ": " << errorOf(loaded).message << "\n";
        return ExitUsageFailure;
    }
    auto fileSettings = takeValue(loaded);
    fileSettings.host.metricsAddress =
            makeMetricsAddress(fileSettings.host.frontendAddress, settings.integer("metrics-port"));
    transport::Runtime runtime(1);
    transport::LogWriter logs(runtime);
    logs.install();
    transport::Metrics metrics;
    platform::StoreClient store(runtime, metrics, fileSettings.storeAddress);
    host::HostHooks hooks;
    hooks.store = store.hooks();
    hooks.decodeRecord = platform::decodeRecord;
    hooks.contentVersionOf = platform::contentVersionOf;
    hooks.headerNames = platform::headerNames();
    hooks.parseLocateRequest = platform::parseLocateRequest;
    hooks.formatLocateResponse = platform::formatLocateResponse;
    host::HostDaemon daemon(runtime, metrics, fileSettings.host, hooks);
    const auto started = daemon.start();
    if (!isOk(started)) {
        transport::logError("host", "the host daemon failed to start",
                            {{"reason", errorOf(started).message}});
        logs.flush();
        return ExitStartFailure;
    }
    runtime.onTermination([&] { runtime.spawn(daemon.shutDown()); });
    runtime.spawn(reloadOnHangup(runtime, daemon, path));
    // The platform may replace the file without sending SIGHUP.
    host::FileWatcher watcher(runtime, path, [&] { reloadSettings(daemon, path); });
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
