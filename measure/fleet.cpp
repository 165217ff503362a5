#include "measure/fleet.h"

namespace persimmon::measure {

using protocol::ConfigEntry;
using protocol::HostKind;
using protocol::HostRecord;

namespace {

std::string ipAddress(std::size_t number)
{
    return "10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "."
           + std::to_string(number % 256);
}

std::string domainName(std::size_t number)
{
    return "region-" + std::to_string(number % 4) + "-domain-" + std::to_string(number);
}

} // namespace

std::string serviceName(std::size_t number)
{
    return std::string(GroupName) + "-" + std::to_string(number);
}

std::vector<HostRecord> makeHosts(const FleetSize &size)
{
    std::vector<HostRecord> hosts;
    hosts.reserve(size.entryHosts + size.upstreams);
    for (std::size_t i = 0; i < size.entryHosts; ++i)
        hosts.push_back({"entry-host-" + std::to_string(i),
                         HostKind::Entry,
                         ipAddress(i),
                         domainName(i % FailureDomains),
                         "",
                         {}});
    for (std::size_t i = 0; i < size.upstreams; ++i) {
        // Places the upstreams of one service in different failure domains.
        hosts.push_back({"upstream-" + std::to_string(i),
                         HostKind::Upstream,
                         ipAddress(size.entryHosts + i) + ":8080",
                         domainName(i % FailureDomains),
                         serviceName(i / UpstreamsPerService),
                         {}});
    }
    return hosts;
}

ConfigEntry makeProfile(std::size_t number, std::uint64_t revision)
{
    protocol::Profile profile;
    profile.group = GroupName;
    return {"profile/search-" + std::to_string(number), revision,
            protocol::formatConfigDocument(profile)};
}

ConfigEntry makeOutOfService(std::uint64_t revision)
{
    const protocol::OutOfService outOfService{{domainName(revision % FailureDomains)}};
    return {"out/domains", revision, protocol::formatConfigDocument(outOfService)};
}

std::vector<ConfigEntry> makeGroupConfig(std::size_t shards)
{
    protocol::SnapshotMap snapshot;
    snapshot.id = 1;
    const auto position = [shards](std::size_t shard) {
        return static_cast<std::uint32_t>(shard * protocol::KeySpaceSize / shards);
    };
    for (std::size_t i = 0; i < shards; ++i)
        snapshot.shards.push_back(
                {"shard-" + std::to_string(i), serviceName(i), position(i), position(i + 1)});
    protocol::Profile profile;
    profile.group = GroupName;
    const protocol::GroupIndex index{{snapshot}};
    return {{std::string("index/") + GroupName, 1, protocol::formatConfigDocument(index)},
            {std::string("profile/") + ProfileName, 1, protocol::formatConfigDocument(profile)}};
}

state::ViewStore makeViewStore(const FleetSize &size, std::size_t keys, std::size_t shards)
{
    state::ViewStore store("entry-host-0");
    protocol::ConfigResponse reply{1, {}};
    for (std::size_t i = 0; i < keys; ++i)
        reply.entries.push_back(makeProfile(i, 1));
    if (shards > 0) {
        const auto group = makeGroupConfig(shards);
        reply.entries.insert(reply.entries.end(), group.begin(), group.end());
    }
    store.applyConfig(reply, FixedNow);
    store.applyHosts({1, makeHosts(size)}, FixedNow);
    store.setReady(true);
    return store;
}

} // namespace persimmon::measure
