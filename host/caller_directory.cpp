#include "host/caller_directory.h"

#include <algorithm>
#include <map>
#include <optional>

namespace persimmon::host {

std::vector<state::MemberState> CallerDirectory::select(const LocateRequest &lookup) const
{
    return state::selectEntriesForCaller(membership_.liveMembers(), lookup.region,
                                         findServingRegions(lookup.host),
                                         findHomeRegions(lookup.host, lookup.region), MaxEntries);
}

std::vector<std::string> CallerDirectory::findServingRegions(const std::string &host) const
{
    std::map<std::string, std::size_t> shards;
    std::size_t total = 0;
    if (!forwarder_.routes())
        return {};
    for (const auto *route : forwarder_.routes()->routesOf(host)) {
        for (const auto &shard : route->gather.shards) {
            ++total;
            for (const auto &region : registry_.regionsOf(shard))
                ++shards[region];
        }
    }
    std::vector<std::string> regions;
    for (const auto &[region, count] : shards) {
        if (count * 2 >= total)
            regions.push_back(region);
    }
    return regions;
}

std::vector<std::string> CallerDirectory::findHomeRegions(const std::string &host,
                                                          const std::string &callerRegion) const
{
    if (!forwarder_.routes())
        return {};
    std::optional<std::vector<std::string>> common;
    for (const auto *route : forwarder_.routes()->routesOf(host)) {
        const auto &homes = route->homeRegions;
        if (homes.empty())
            continue;
        if (!common)
            common = homes;
        std::erase_if(*common, [&homes](const std::string &region) {
            return std::find(homes.begin(), homes.end(), region) == homes.end();
        });
    }
    if (common && common->empty())
        return {callerRegion};
    return common.value_or(std::vector<std::string>());
}

} // namespace persimmon::host
