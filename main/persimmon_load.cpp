#include "load/load.h"
#include "protocol/protocol.h"
#include "transport/log.h"
#include "transport/settings.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace persimmon;

namespace {

void declareSettings(transport::Settings &settings)
{
    settings.addText("entries",
                     "entries that receive the locate requests: IP:port, separated by commas", "");
    settings.require("entries");
    settings.addText("config", "config.json of the deployment, which defines the profiles", "");
    settings.require("config");
    settings.addText("mix", "profiles with weights, for example live-scoresheet=8,entry-fee=1", "");
    settings.require("mix");
    settings.addNumber("rate", "queries per second", 10, 0.01, 100'000);
    settings.addInteger("seconds", "duration in s", 10, 1, 86'400);
    settings.addInteger("seed", "seed of the random queries and scheduled send times", 1, 0,
                        1'000'000'000);
    settings.addInteger("connections", "maximum number of connections to entries", 64, 1, 10'000);
    settings.addInteger("callers", "number of different callers", 50, 1, 1'000'000);
    settings.addSwitch("press-twice", "send each non-repeatable request twice with the same id");
    settings.addSwitch("json", "print JSON instead of a table");
    settings.addLogging();
}

/// @return std::nullopt if --entries is not a list of IP:port.
std::optional<load::LoadSettings> readSettings(const transport::Settings &settings)
{
    load::LoadSettings result;
    std::stringstream stream(settings.text("entries"));
    std::string element;
    while (std::getline(stream, element, ',')) {
        const auto endpoint = transport::parseEndpoint(element);
        if (!isOk(endpoint))
            return std::nullopt;
        result.entries.push_back(valueOf(endpoint));
    }
    result.rate = settings.number("rate");
    result.duration = std::chrono::seconds(settings.integer("seconds"));
    result.seed = static_cast<std::uint64_t>(settings.integer("seed"));
    result.connections = static_cast<std::size_t>(settings.integer("connections"));
    result.callers = static_cast<int>(settings.integer("callers"));
    result.duplicateRequests = settings.isOn("press-twice");
    return result;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings("persimmon-load", "Open-loop load generator");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    const auto loadSettings = readSettings(settings);
    if (!loadSettings)
        return settings.reportInvalid("entries", "a list of IP:port, separated by commas");
    const auto mix =
            load::ProfileMix::parse(settings.text("mix"), readFile(settings.text("config")));
    if (!isOk(mix)) {
        const bool invalidConfig = errorOf(mix).code == load::LoadErrorCode::ConfigInvalid;
        return settings.reportInvalid(invalidConfig ? "config" : "mix", errorOf(mix).message);
    }
    transport::Runtime runtime(1);
    load::LoadGenerator generator(runtime, *loadSettings, valueOf(mix));
    bool completed = false;
    runtime.onTermination([&runtime] { runtime.requestStop(); });
    runtime.spawn([](load::LoadGenerator &loadGenerator, transport::Runtime &owner,
                     bool &done) -> boost::asio::awaitable<void> {
        co_await loadGenerator.run();
        done = true;
        owner.requestStop();
    }(generator, runtime, completed));
    runtime.run();
    if (settings.isOn("json"))
        std::cout << persimmon::protocol::serializeJson(generator.report().toJson()) << "\n";
    else
        std::cout << generator.report().toTable();
    return completed ? 0 : 1;
}
