#include "standin/fault_commands.h"

#include "protocol/platform_codec.h"

#include <boost/json.hpp>

#include <map>

namespace json = boost::json;

namespace persimmon::standin {

namespace {

constexpr std::int64_t DefaultKeepMs = 10'000;

using Answer = StandinResult<json::object>;
using UpstreamAction = std::function<void(Upstream &, const json::object &)>;

std::string text(const json::object &command, const char *name)
{
    const auto *value = command.if_contains(name);
    return value == nullptr ? "" : std::string(value->as_string());
}

std::int64_t integer(const json::object &command, const char *name, std::int64_t initial)
{
    const auto *value = command.if_contains(name);
    return value == nullptr ? initial : value->to_number<std::int64_t>();
}

double number(const json::object &command, const char *name, double initial)
{
    const auto *value = command.if_contains(name);
    return value == nullptr ? initial : value->to_number<double>();
}

std::chrono::milliseconds milliseconds(const json::object &command, const char *name,
                                       std::int64_t initial)
{
    return std::chrono::milliseconds(integer(command, name, initial));
}

bool isOn(const json::object &command)
{
    const auto *value = command.if_contains("on");
    return value == nullptr || value->as_bool();
}

std::vector<Upstream *> findTargets(StandIn &standIn, const json::object &command)
{
    return standIn.upstreams([&](const Upstream &upstream) {
        const auto matches = [&](const char *name, const std::string &value) {
            return !command.contains(name) || text(command, name) == value;
        };
        const auto &settings = upstream.settings();
        return matches("upstream", settings.name) && matches("service", settings.service)
               && matches("group", settings.group)
               && matches("failure_domain", settings.failureDomain);
    });
}

FaultCommand forUpstreams(UpstreamAction action)
{
    return [action = std::move(action)](StandIn &standIn, const json::object &command) -> Answer {
        const auto targets = findTargets(standIn, command);
        if (targets.empty())
            return StandinError{StandinErrorCode::CommandInvalid, "no upstream matches"};
        for (auto *upstream : targets)
            action(*upstream, command);
        return json::object{{"upstreams", targets.size()}};
    };
}

void slowDown(Upstream &upstream, const json::object &command)
{
    auto &faults = upstream.faults();
    const bool on = isOn(command);
    faults.delay = on ? milliseconds(command, "delay_ms", 0) : std::chrono::milliseconds(0);
    faults.factor = on ? number(command, "factor", 1) : 1;
    faults.slowShare = on ? number(command, "share", 1) : 1;
}

void silence(Upstream &upstream, const json::object &command)
{
    upstream.faults().silent = isOn(command) && text(command, "connections") == "all";
    if (isOn(command))
        upstream.silenceOpenConnections();
}

void reportFalseHealth(Upstream &upstream, const json::object &command)
{
    auto &health = upstream.faults().falseHealth;
    health.reset();
    if (isOn(command))
        health = text(command, "state");
}

void reportFalseLoad(Upstream &upstream, const json::object &command)
{
    auto &load = upstream.faults().falseLoad;
    load.reset();
    if (isOn(command))
        load = static_cast<std::uint32_t>(integer(command, "value", 0));
}

std::vector<std::string> listServices(const json::object &command)
{
    std::vector<std::string> services;
    for (const auto &service : command.at("services").as_array())
        services.emplace_back(service.as_string());
    return services;
}

Answer publish(StandIn &standIn, const json::object &command, std::vector<std::string> services)
{
    const auto id = standIn.publish(text(command, "group"), services,
                                    milliseconds(command, "keep_ms", DefaultKeepMs));
    if (!isOk(id))
        return errorOf(id);
    return json::object{{"snapshot", valueOf(id)}};
}

Answer setConfig(StandIn &standIn, const json::object &command)
{
    const auto key = std::string(command.at("key").as_string());
    return json::object{
            {"revision", standIn.store().set(key, json::serialize(command.at("value")))}};
}

Answer deleteConfig(StandIn &standIn, const json::object &command)
{
    const auto key = std::string(command.at("key").as_string());
    return json::object{{"revision", standIn.store().set(key, std::nullopt)}};
}

Answer putHost(StandIn &standIn, const json::object &command)
{
    const json::object list{{"revision", 1}, {"hosts", json::array{command.at("host")}}};
    const auto reply = protocol::decodeHostsReply(json::serialize(list));
    if (!isOk(reply))
        return StandinError{StandinErrorCode::CommandInvalid, errorOf(reply).message};
    const auto host = valueOf(reply).hosts->front();
    standIn.runLater(milliseconds(command, "lag_ms", 0),
                     [&standIn, host] { standIn.store().putHost(host); });
    return json::object{};
}

Answer removeHost(StandIn &standIn, const json::object &command)
{
    standIn.runLater(milliseconds(command, "lag_ms", 0),
                     [&standIn, name = std::string(command.at("name").as_string())] {
                         standIn.store().removeHost(name);
                     });
    return json::object{};
}

Answer setStale(StandIn &standIn, const json::object &command)
{
    auto &stale = standIn.platform().faults().stale;
    stale.reset();
    if (isOn(command))
        stale = standIn.store();
    return json::object{{"revision", standIn.store().revision()}};
}

std::map<std::string_view, FaultCommand> upstreamCommands()
{
    return {
            {"slow", forUpstreams(slowDown)},
            {"crash", forUpstreams([](Upstream &upstream, const json::object &command) {
                 upstream.crash(
                         milliseconds(command, "down_ms", Upstream::DefaultDowntime.count()));
             })},
            {"cold",
             forUpstreams([](Upstream &upstream, const json::object &) { upstream.makeCold(); })},
            {"silent", forUpstreams(silence)},
            {"shed", forUpstreams([](Upstream &upstream, const json::object &command) {
                 upstream.faults().shed = isOn(command);
             })},
            {"draining", forUpstreams([](Upstream &upstream, const json::object &command) {
                 upstream.faults().draining = isOn(command);
             })},
            {"false_health", forUpstreams(reportFalseHealth)},
            {"false_load", forUpstreams(reportFalseLoad)},
            {"replica_lag", forUpstreams([](Upstream &upstream, const json::object &command) {
                 upstream.faults().lagging = isOn(command);
             })},
            {"clear", forUpstreams([](Upstream &upstream, const json::object &) {
                 upstream.faults() = {};
             })},
    };
}

std::map<std::string_view, FaultCommand> platformCommands()
{
    return {
            {"publish", [](StandIn &standIn,
                           const json::object &command) { return publish(standIn, command, {}); }},
            {"repartition",
             [](StandIn &standIn, const json::object &command) {
                 return publish(standIn, command, listServices(command));
             }},
            {"config_set", setConfig},
            {"config_delete", deleteConfig},
            {"host_put", putHost},
            {"host_remove", removeHost},
            {"config_down",
             [](StandIn &standIn, const json::object &command) -> Answer {
                 standIn.platform().faults().down = isOn(command);
                 return json::object{};
             }},
            {"config_stale", setStale},
            {"config_slow",
             [](StandIn &standIn, const json::object &command) -> Answer {
                 standIn.platform().faults().delay = isOn(command)
                                                             ? milliseconds(command, "delay_ms", 0)
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
