#include "standin/standin.h"
#include "transport/log.h"
#include "transport/settings.h"

#include <cmath>

using namespace persimmon;
using namespace std::chrono_literals;

namespace {

void declareSettings(transport::Settings &settings)
{
    settings.addText("deployment", "directory with config.json and hosts.json", "");
    settings.require("deployment");
    settings.addText("network",
                     "replaces the first two octets of all addresses, for example 127.42", "");
    settings.addEndpoint("platform", "address of the configuration service and host list",
                         "127.0.0.1:7000");
    settings.addEndpoint("control", "address of the control endpoint", "127.0.0.1:7001");
    settings.addNumber("service-time", "median execution time in ms", 5, 0.01, 10'000);
    settings.addNumber("spread", "standard deviation of the logarithm of the execution time", 0.2,
                       0, 3);
    settings.addInteger("seed", "seed of the execution times", 1, 0, 1'000'000'000);
    settings.addSwitch("cold", "start all simulated upstreams cold");
    settings.addLogging();
}

standin::SimulatorSettings readSettings(const transport::Settings &settings)
{
    standin::SimulatorSettings result;
    result.folder = settings.text("deployment");
    result.network = settings.text("network");
    result.platform = settings.endpoint("platform");
    result.serviceTime =
            std::chrono::microseconds(std::llround(settings.number("service-time") * 1000));
    result.serviceTimeSigma = settings.number("spread");
    result.seed = static_cast<std::uint64_t>(settings.integer("seed"));
    result.cold = settings.isOn("cold");
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings(
            "persimmon-standin",
            "Simulates the upstreams, configuration service and host list of a deployment.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    transport::Runtime runtime(1);
    standin::DeploymentSimulator simulator(runtime, readSettings(settings));
    const auto started = simulator.start();
    if (!isOk(started)) {
        transport::logError("standin", errorOf(started).message);
        return 1;
    }
    standin::ControlService control(simulator);
    const auto listening = control.start(settings.endpoint("control"));
    if (!isOk(listening)) {
        transport::logError("standin", errorOf(listening).message);
        return 1;
    }
    runtime.onTermination([&runtime] { runtime.requestStop(); });
    transport::logInfo("standin", "The deployment simulator is listening.",
                       {{"control", transport::formatEndpoint(valueOf(listening))}});
    runtime.run();
    return 0;
}
