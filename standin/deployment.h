#pragma once

#include "protocol/config_documents.h"
#include "protocol/platform_messages.h"
#include "standin/standin_error.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::standin {

/// Contents of a deployment's config.json and hosts.json.
struct Deployment
{
    /// Configuration values as JSON text by key.
    std::map<std::string, std::string> values;
    std::vector<protocol::HostRecord> hosts;
    std::map<std::string, protocol::GroupSettings> groups;
    std::map<std::string, protocol::GroupIndex> indexes;
};

/// Reads config.json and hosts.json.
/// @param folder folder of the deployment.
/// @param network first two numbers that replace those of every address, for example "127.42".
/// @return the deployment, FileUnreadable or DeploymentInvalid.
StandinResult<Deployment> loadDeployment(const std::string &folder, const std::string &network);

/// @return @p address with its first two numbers replaced by @p network; unchanged when empty.
std::string moveToNetwork(const std::string &address, const std::string &network);

/// @return the group whose newest snapshot has a shard on @p service, or "".
std::string groupOfService(const Deployment &deployment, const std::string &service);

} // namespace persimmon::standin
