#include "state/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace persimmon::state {

namespace {

struct RankedHost
{
    bool preferred = false;
    std::uint64_t weight = 0;
    std::string name;
};

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

/// @return the name that all services of one block share; a service without a number is a block of
///         its own.
std::string blockOf(std::string_view service)
{
    const auto lastLetter = service.find_last_not_of("0123456789");
    const auto digits = lastLetter == std::string_view::npos ? 0 : lastLetter + 1;
    const auto numberText = service.substr(digits);
    std::uint64_t number = 0;
    const auto [end, failure] =
            std::from_chars(numberText.data(), numberText.data() + numberText.size(), number);
    if (failure != std::errc())
        return std::string(service);
    return std::string(service.substr(0, digits)) + "/" + std::to_string(number / ServicesPerBlock);
}

/// Ranks the available entry hosts by their hash with @p key, hosts in @p preferredDomains first.
std::vector<std::string> rankHosts(const ClusterView &view, std::string_view key,
                                   const std::set<std::string_view> &preferredDomains)
{
    const auto seed = hashText(key, 0);
    std::vector<RankedHost> ranked;
    for (const auto &[name, host] : view.entryHosts) {
        if (view.isAvailable(host))
            ranked.push_back(
                    {preferredDomains.contains(host.failureDomain), hashText(name, seed), name});
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedHost &left, const RankedHost &right) {
        return std::tie(left.preferred, left.weight, left.name)
               > std::tie(right.preferred, right.weight, right.name);
    });
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto &host : ranked)
        names.push_back(std::move(host.name));
    return names;
}

} // namespace

std::vector<std::string> rankDispatchers(const ClusterView &view, std::string_view service)
{
    std::set<std::string_view> domains;
    if (const auto found = view.upstreams.find(service); found != view.upstreams.end()) {
        for (const auto &upstream : found->second)
            domains.insert(upstream.failureDomain);
    }
    return rankHosts(view, blockOf(service), domains);
}

std::vector<std::string> rankEntries(const ClusterView &view, std::string_view caller)
{
    return rankHosts(view, caller, {});
}

} // namespace persimmon::state
