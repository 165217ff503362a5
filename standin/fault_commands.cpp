#include "standin/fault_commands.h"

#include "protocol/platform_codec.h"

#include <boost/json.hpp>

#include <map>

namespace json = boost::json;

namespace persimmon::standin {

namespace {

constexpr std::int64_t DefaultSnapshotRetentionMs = 10'000;

using CommandResult = SimulatorResult<json::object>;
using UpstreamAction = std::function<void(SimulatedUpstream &, const json::object &)>;

std::string stringMember(const json::object &command, const char *name)
{
    const auto *value = command.if_contains(name);
    return value == nullptr ? "" : std::string(value->as_string());
}

std::int64_t integerMember(const json::object &command, const char *name, std::int64_t defaultValue)
{
    const auto *value = command.if_contains(name);
    return value == nullptr ? defaultValue : value->to_number<std::int64_t>();
}

double numberMember(const json::object &command, const char *name, double defaultValue)
{
    const auto *value = command.if_contains(name);
    return value == nullptr ? defaultValue : value->to_number<double>();
}

std::chrono::milliseconds millisecondsMember(const json::object &command, const char *name,
                                             std::int64_t defaultValue)
{
    return std::chrono::milliseconds(integerMember(command, name, defaultValue));
}

bool isEnabled(const json::object &command)
{
    const auto *value = command.if_contains("on");
    return value == nullptr || value->as_bool();
}

std::vector<SimulatedUpstream *> findTargets(DeploymentSimulator &simulator,
                                             const json::object &command)
{
    return simulator.upstreams([&](const SimulatedUpstream &upstream) {
        const auto matches = [&](const char *name, const std::string &value) {
            return !command.contains(name) || stringMember(command, name) == value;
        };
        const auto &settings = upstream.settings();
        return matches("upstream", settings.name) && matches("service", settings.service)
               && matches("group", settings.group)
               && matches("failure_domain", settings.failureDomain);
    });
}

FaultCommand forUpstreams(UpstreamAction action)
{
    return [action = std::move(action)](DeploymentSimulator &simulator,
                                        const json::object &command) -> CommandResult {
        const auto targets = findTargets(simulator, command);
        if (targets.empty())
            return SimulatorError{SimulatorErrorCode::CommandInvalid,
                                  "no upstream matches the command"};
        for (auto *upstream : targets)
            action(*upstream, command);
        return json::object{{"upstreams", targets.size()}};
    };
}

void setSlow(SimulatedUpstream &upstream, const json::object &command)
{
    auto &faults = upstream.faults();
    const bool on = isEnabled(command);
    faults.slowDelay =
            on ? millisecondsMember(command, "delay_ms", 0) : std::chrono::milliseconds(0);
    faults.slowFactor = on ? numberMember(command, "factor", 1) : 1;
    faults.slowShare = on ? numberMember(command, "share", 1) : 1;
}

void setSilent(SimulatedUpstream &upstream, const json::object &command)
{
    upstream.faults().silent = isEnabled(command) && stringMember(command, "connections") == "all";
    if (isEnabled(command))
        upstream.silenceOpenConnections();
}

void setFalseHealth(SimulatedUpstream &upstream, const json::object &command)
{
    auto &health = upstream.faults().falseHealth;
    health.reset();
    if (isEnabled(command))
        health = stringMember(command, "state");
}

void setFalseLoad(SimulatedUpstream &upstream, const json::object &command)
{
    auto &load = upstream.faults().falseLoad;
    load.reset();
    if (isEnabled(command))
        load = static_cast<std::uint32_t>(integerMember(command, "value", 0));
}

std::vector<std::string> parseServices(const json::object &command)
{
    std::vector<std::string> services;
    for (const auto &service : command.at("services").as_array())
        services.emplace_back(service.as_string());
    return services;
}

CommandResult publishSnapshot(DeploymentSimulator &simulator, const json::object &command,
                              std::vector<std::string> services)
{
    const auto id = simulator.publishSnapshot(
            stringMember(command, "group"), services,
            millisecondsMember(command, "keep_ms", DefaultSnapshotRetentionMs));
    if (!isOk(id))
        return errorOf(id);
    return json::object{{"snapshot", valueOf(id)}};
}

CommandResult setConfig(DeploymentSimulator &simulator, const json::object &command)
{
    const auto key = std::string(command.at("key").as_string());
    return json::object{
            {"revision", simulator.store().set(key, json::serialize(command.at("value")))}};
}

CommandResult deleteConfig(DeploymentSimulator &simulator, const json::object &command)
{
    const auto key = std::string(command.at("key").as_string());
    return json::object{{"revision", simulator.store().set(key, std::nullopt)}};
}

CommandResult putHost(DeploymentSimulator &simulator, const json::object &command)
{
    const json::object list{{"revision", 1}, {"hosts", json::array{command.at("host")}}};
    const auto reply = protocol::decodeHostsResponse(json::serialize(list));
    if (!isOk(reply))
        return SimulatorError{SimulatorErrorCode::CommandInvalid, errorOf(reply).message};
    const auto host = valueOf(reply).hosts->front();
    simulator.runAfter(millisecondsMember(command, "lag_ms", 0),
                       [&simulator, host] { simulator.store().putHost(host); });
    return json::object{};
}

CommandResult removeHost(DeploymentSimulator &simulator, const json::object &command)
{
    simulator.runAfter(millisecondsMember(command, "lag_ms", 0),
                       [&simulator, name = std::string(command.at("name").as_string())] {
                           simulator.store().removeHost(name);
                       });
    return json::object{};
}

CommandResult setConfigStale(DeploymentSimulator &simulator, const json::object &command)
{
    auto &stale = simulator.platform().faults().staleConfig;
    stale.reset();
    if (isEnabled(command))
        stale = simulator.store();
    return json::object{{"revision", simulator.store().revision()}};
}

CommandResult copyPlatform(DeploymentSimulator &simulator, const json::object & /*command*/)
{
    simulator.platform().faults().backup = simulator.store();
    return json::object{{"revision", simulator.store().revision()}};
}

CommandResult restorePlatform(DeploymentSimulator &simulator, const json::object & /*command*/)
{
    const auto &backup = simulator.platform().faults().backup;
    if (!backup)
        return SimulatorError{SimulatorErrorCode::CommandInvalid, "no copy was made before"};
    simulator.store().restore(*backup);
    return json::object{{"revision", simulator.store().revision()},
                        {"era", simulator.store().era()}};
}

std::map<std::string_view, FaultCommand> upstreamCommands()
{
    return {
            {"slow", forUpstreams(setSlow)},
            {"crash", forUpstreams([](SimulatedUpstream &upstream, const json::object &command) {
                 upstream.crash(millisecondsMember(command, "down_ms",
                                                   SimulatedUpstream::DefaultDowntime.count()));
             })},
            {"cold", forUpstreams([](SimulatedUpstream &upstream, const json::object &) {
                 upstream.makeCold();
             })},
            {"silent", forUpstreams(setSilent)},
            {"shed", forUpstreams([](SimulatedUpstream &upstream, const json::object &command) {
                 upstream.faults().shed = isEnabled(command);
             })},
            {"draining", forUpstreams([](SimulatedUpstream &upstream, const json::object &command) {
                 upstream.faults().draining = isEnabled(command);
             })},
            {"false_health", forUpstreams(setFalseHealth)},
            {"false_load", forUpstreams(setFalseLoad)},
            {"replica_lag",
             forUpstreams([](SimulatedUpstream &upstream, const json::object &command) {
                 upstream.faults().lagging = isEnabled(command);
             })},
            {"clear", forUpstreams([](SimulatedUpstream &upstream, const json::object &) {
                 upstream.faults() = {};
             })},
    };
}

std::map<std::string_view, FaultCommand> platformCommands()
{
    return {
            {"publish",
             [](DeploymentSimulator &simulator, const json::object &command) {
                 return publishSnapshot(simulator, command, {});
             }},
            {"repartition",
             [](DeploymentSimulator &simulator, const json::object &command) {
                 return publishSnapshot(simulator, command, parseServices(command));
             }},
            {"config_set", setConfig},
            {"config_delete", deleteConfig},
            {"host_put", putHost},
            {"host_remove", removeHost},
            {"config_down",
             [](DeploymentSimulator &simulator, const json::object &command) -> CommandResult {
                 simulator.platform().faults().configDown = isEnabled(command);
                 return json::object{};
             }},
            {"config_stale", setConfigStale},
            {"platform_copy", copyPlatform},
            {"platform_restore", restorePlatform},
            {"config_slow",
             [](DeploymentSimulator &simulator, const json::object &command) -> CommandResult {
                 simulator.platform().faults().configDelay =
                         isEnabled(command) ? millisecondsMember(command, "delay_ms", 0)
                                            : std::chrono::milliseconds(0);
                 return json::object{};
             }},
    };
}

} // namespace

FaultCommand findFaultCommand(std::string_view kind)
{
    static const auto commands = [] {
        auto all = upstreamCommands();
        all.merge(platformCommands());
        return all;
    }();
    const auto found = commands.find(kind);
    return found == commands.end() ? FaultCommand{} : found->second;
}

} // namespace persimmon::standin
