#pragma once

#include "protocol/config_documents.h"
#include "protocol/platform_messages.h"
#include "standin/simulator_error.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::standin {

/// Parsed contents of a deployment's config.json and hosts.json.
struct Deployment
{
    /// Configuration values as serialized JSON by key.
    std::map<std::string, std::string> values;
    std::vector<protocol::HostRecord> hosts;
    std::map<std::string, protocol::GroupSettings> groups;
    std::map<std::string, protocol::GroupIndex> indexes;
};

/// Loads config.json and hosts.json.
/// @param folder directory of the deployment.
/// @param network first two octets that replace those of every address, for example "127.42"; empty
/// keeps the addresses.
/// @return the deployment, FileUnreadable or DeploymentInvalid.
SimulatorResult<Deployment> loadDeployment(const std::string &folder, const std::string &network);

/// @return @p address with its first two octets replaced by @p network, or unchanged if @p network
/// is empty.
std::string replaceNetworkPrefix(const std::string &address, const std::string &network);

/// @return the group whose newest snapshot assigns a shard to @p service, or "" if there is none.
std::string groupOfService(const Deployment &deployment, const std::string &service);

} // namespace persimmon::standin
