#include "standin/deployment.h"

#include "protocol/platform_codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace json = boost::json;

namespace persimmon::standin {

namespace {

SimulatorResult<json::value> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return SimulatorError{SimulatorErrorCode::FileUnreadable, "cannot open " + path};
    std::stringstream text;
    text << file.rdbuf();
    boost::system::error_code error;
    auto value = json::parse(text.str(), error);
    if (error) {
        return SimulatorError{SimulatorErrorCode::DeploymentInvalid,
                              path + " is not valid JSON: " + error.message()};
    }
    return value;
}

SimulatorResult<std::vector<protocol::HostRecord>> parseHosts(const json::value &rows)
{
    const auto text = json::serialize(json::object{{"revision", 1}, {"hosts", rows}});
    const auto reply = protocol::decodeHostsResponse(text);
    if (!isOk(reply))
        return SimulatorError{SimulatorErrorCode::DeploymentInvalid, errorOf(reply).message};
    return valueOf(reply).hosts.value_or(std::vector<protocol::HostRecord>{});
}

Status<SimulatorError> addConfigValue(Deployment &deployment, const std::string &key,
                                      const json::value &value)
{
    const auto text = json::serialize(value);
    const auto document = protocol::parseConfigDocument(key, text);
    if (!isOk(document)) {
        const auto &error = errorOf(document);
        return SimulatorError{SimulatorErrorCode::DeploymentInvalid,
                              key + error.path + ": " + error.reason};
    }
    deployment.values[key] = text;
    const auto name = key.substr(key.find('/') + 1);
    if (const auto *group = std::get_if<protocol::GroupSettings>(&valueOf(document)))
        deployment.groups[name] = *group;
    if (const auto *index = std::get_if<protocol::GroupIndex>(&valueOf(document)))
        deployment.indexes[name] = *index;
    return Ok{};
}

} // namespace

std::string replaceNetworkPrefix(const std::string &address, const std::string &network)
{
    const auto first = address.find('.');
    const auto second = first == std::string::npos ? first : address.find('.', first + 1);
    if (network.empty() || second == std::string::npos)
        return address;
    return network + address.substr(second);
}

std::string groupOfService(const Deployment &deployment, const std::string &service)
{
    for (const auto &[group, index] : deployment.indexes) {
        const auto &shards = index.snapshots.back().shards;
        if (std::any_of(shards.begin(), shards.end(),
                        [&](const auto &shard) { return shard.service == service; }))
            return group;
    }
    return "";
}

SimulatorResult<Deployment> loadDeployment(const std::string &folder, const std::string &network)
{
    const auto config = readJsonFile(folder + "/config.json");
    if (!isOk(config))
        return errorOf(config);
    const auto rows = readJsonFile(folder + "/hosts.json");
    if (!isOk(rows))
        return errorOf(rows);
    if (!valueOf(config).is_object()) {
        return SimulatorError{SimulatorErrorCode::DeploymentInvalid,
                              "config.json must contain a JSON object"};
    }
    Deployment deployment;
    for (const auto &member : valueOf(config).as_object()) {
        const auto added = addConfigValue(deployment, std::string(member.key()), member.value());
        if (!isOk(added))
            return errorOf(added);
    }
    auto hosts = parseHosts(valueOf(rows));
    if (!isOk(hosts))
        return errorOf(hosts);
    deployment.hosts = takeValue(hosts);
    for (auto &host : deployment.hosts)
        host.address = replaceNetworkPrefix(host.address, network);
    return deployment;
}

} // namespace persimmon::standin
