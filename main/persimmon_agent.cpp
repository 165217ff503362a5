#include "coordination/coordination.h"

#include <sstream>

using namespace persimmon;

namespace {

constexpr int ExitStartFailure = 1;
constexpr int ThreadCount = 2;

/// Parses a comma-separated list of IP:port. Empty elements are skipped.
transport::TransportResult<std::vector<transport::Endpoint>> parsePeers(const std::string &text)
{
    std::vector<transport::Endpoint> peers;
    std::istringstream stream(text);
    for (std::string element; std::getline(stream, element, ',');) {
        if (element.empty())
            continue;
        const auto peer = transport::parseEndpoint(element);
        if (!isOk(peer))
            return errorOf(peer);
        peers.push_back(valueOf(peer));
    }
    return peers;
}

/// @return description of the expected value if @p text is invalid, otherwise std::nullopt.
std::optional<std::string> validatePeers(const std::string &text)
{
    if (isOk(parsePeers(text)))
        return std::nullopt;
    return "a list such as 127.0.1.1:7300,127.0.1.2:7300";
}

void declareSettings(transport::Settings &settings)
{
    coordination::addDaemonSettings(settings, protocol::AgentPort);
    settings.addText("peers",
                     "agents to contact until the host list is known: IP:port, separated by commas",
                     "", validatePeers);
}

coordination::ViewAgentOptions makeAgentOptions(const transport::Settings &settings)
{
    coordination::ViewAgentOptions options;
    options.host = settings.text("host");
    options.address = coordination::daemonEndpoint(settings);
    options.service = settings.endpoint("service");
    options.peers = valueOf(parsePeers(settings.text("peers")));
    return options;
}

coordination::AdminOptions makeAdminOptions(const transport::Settings &settings,
                                            coordination::ViewAgent &agent)
{
    coordination::AdminOptions options;
    options.program = "persimmon-agent";
    options.host = settings.text("host");
    options.view = [&agent] { return agent.isReady() ? agent.view() : nullptr; };
    options.audit = [&agent] { return agent.audit().rows(); };
    options.addStatusMembers = [domain = settings.text("failure-domain")](Json::Value &status) {
        status["failure_domain"] = domain;
    };
    return options;
}

int run(const transport::Settings &settings)
{
    transport::Runtime runtime(ThreadCount);
    transport::Metrics metrics;
    coordination::ViewAgent agent(runtime, metrics, makeAgentOptions(settings));
    coordination::AdminServer admin(runtime, metrics, makeAdminOptions(settings, agent));
    if (!settings.isEmpty("admin")
        && !coordination::logListenResult("admin", admin.listen(settings.endpoint("admin"))))
        return ExitStartFailure;
    if (const auto started = agent.start(); !isOk(started)) {
        transport::logError("agent", errorOf(started).message);
        return ExitStartFailure;
    }
    transport::logInfo("agent", "The agent has started.", {{"host", settings.text("host")}});
    runtime.onTermination([&] {
        transport::logInfo("agent", "The agent is shutting down.");
        agent.stop();
        admin.close();
        runtime.requestStop();
    });
    runtime.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    transport::Settings settings(
            "persimmon-agent",
            "Replicates the configuration, host list and quarantine list to one host.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    return run(settings);
}
