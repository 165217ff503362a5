#include "coordination/coordination.h"

#include <sstream>

using namespace persimmon;

namespace {

constexpr int StartFailure = 1;
constexpr int Threads = 2;

/// Reads a list of IP:port, separated by commas. Empty parts are skipped.
transport::TransportResult<std::vector<transport::Endpoint>> parsePeers(const std::string &text)
{
    std::vector<transport::Endpoint> peers;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        if (part.empty())
            continue;
        const auto peer = transport::parseEndpoint(part);
        if (!isOk(peer))
            return errorOf(peer);
        peers.push_back(valueOf(peer));
    }
    return peers;
}

std::optional<std::string> checkPeers(const std::string &text)
{
    if (isOk(parsePeers(text)))
        return std::nullopt;
    return "a list such as 127.0.1.1:7300,127.0.1.2:7300";
}

void addSettings(transport::Settings &settings)
{
    coordination::addDaemonSettings(settings, protocol::AgentPort);
    settings.addText("peers", "agents to ask while the host list is unknown, separated by commas",
                     "", checkPeers);
}

coordination::ViewAgentOptions agentOptions(const transport::Settings &settings)
{
    coordination::ViewAgentOptions options;
    options.host = settings.text("host");
    options.address = coordination::daemonEndpoint(settings);
    options.service = settings.endpoint("service");
    options.peers = valueOf(parsePeers(settings.text("peers")));
    return options;
}

coordination::AdminOptions adminOptions(const transport::Settings &settings,
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

int serve(const transport::Settings &settings)
{
    transport::Runtime runtime(Threads);
    transport::Metrics metrics;
    coordination::ViewAgent agent(runtime, metrics, agentOptions(settings));
    coordination::AdminServer admin(runtime, metrics, adminOptions(settings, agent));
    if (!settings.isEmpty("admin")
        && !coordination::logListenResult("admin", admin.listen(settings.endpoint("admin"))))
        return StartFailure;
    if (const auto started = agent.start(); !isOk(started)) {
        transport::logError("agent", errorOf(started).message);
        return StartFailure;
    }
    transport::logInfo("agent", "The agent has started.", {{"host", settings.text("host")}});
    runtime.onTermination([&] {
        transport::logInfo("agent", "The agent ends.");
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
    transport::Settings settings("persimmon-agent",
                                 "Keeps configuration, host list and quarantine list of one host.");
    addSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    settings.initLogging();
    return serve(settings);
}
