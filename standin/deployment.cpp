#include "standin/deployment.h"

#include "protocol/platform_codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace json = boost::json;

namespace persimmon::standin {

namespace {

StandinResult<json::value> readJson(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return StandinError{StandinErrorCode::FileUnreadable, "cannot read " + path};
    std::stringstream text;
    text << file.rdbuf();
    boost::system::error_code error;
    auto value = json::parse(text.str(), error);
    if (error) {
        return StandinError{StandinErrorCode::DeploymentInvalid,
                            path + " is not JSON: " + error.message()};
    }
    return value;
}

StandinResult<std::vector<protocol::HostRecord>> readHosts(const json::value &rows)
{
    const auto text = json::serialize(json::object{{"revision", 1}, {"hosts", rows}});
    const auto reply = protocol::decodeHostsReply(text);
    if (!isOk(reply))
        return StandinError{StandinErrorCode::DeploymentInvalid, errorOf(reply).message};
    return valueOf(reply).hosts.value_or(std::vector<protocol::HostRecord>{});
}

Status<StandinError> addValue(Deployment &deployment, const std::string &key,
                              const json::value &value)
{
    const auto text = json::serialize(value);
    const auto document = protocol::parseConfigDocument(key, text);
    if (!isOk(document)) {
        const auto &fault = errorOf(document);
        return StandinError{StandinErrorCode::DeploymentInvalid,
                            key + fault.path + ": " + fault.reason};
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

std::string moveToNetwork(const std::string &address, const std::string &network)
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

StandinResult<Deployment> loadDeployment(const std::string &folder, const std::string &network)
{
    const auto config = readJson(folder + "/config.json");
    if (!isOk(config))
        return errorOf(config);
    const auto rows = readJson(folder + "/hosts.json");
    if (!isOk(rows))
        return errorOf(rows);
    if (!valueOf(config).is_object()) {
        return StandinError{StandinErrorCode::DeploymentInvalid, "config.json must hold an object"};
    }
    Deployment deployment;
    for (const auto &member : valueOf(config).as_object()) {
        const auto added = addValue(deployment, std::string(member.key()), member.value());
        if (!isOk(added))
            return errorOf(added);
    }
    auto hosts = readHosts(valueOf(rows));
    if (!isOk(hosts))
        return errorOf(hosts);
    deployment.hosts = takeValue(hosts);
    for (auto &host : deployment.hosts)
        host.address = moveToNetwork(host.address, network);
    return deployment;
}

} // namespace persimmon::standin
