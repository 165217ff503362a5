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
    const std::string *name = nullptr;
};

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

/// @return the name of the service's block; a service without a trailing number is a block of its
///         own.
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

/// @return the names of the @p count highest ranked hosts, best first.
std::vector<std::string> bestNames(std::vector<RankedHost> ranked, std::size_t count)
{
    const auto resultCount = std::min(count, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(resultCount);
    std::partial_sort(ranked.begin(), end, ranked.end(),
                      [](const RankedHost &left, const RankedHost &right) {
                          return std::tie(left.preferred, left.weight, *left.name)
                                 > std::tie(right.preferred, right.weight, *right.name);
                      });
    std::vector<std::string> names;
    names.reserve(resultCount);
    std::for_each(ranked.begin(), end, [&](const auto &host) { names.push_back(*host.name); });
    return names;
}

} // namespace

DispatcherRanking::DispatcherRanking(const ClusterView &view) : view_(view)
{
    for (const auto &[name, host] : view.entryHosts) {
        if (view.isAvailable(host))
            hosts_[host.failureDomain].push_back(&name);
    }
}

std::vector<std::string> DispatcherRanking::first(std::string_view service, std::size_t count) const
{
    std::set<std::string_view> domains;
    if (const auto found = view_.upstreams.find(service); found != view_.upstreams.end()) {
        for (const auto &upstream : found->second)
            domains.insert(upstream.failureDomain);
    }
    const auto seed = hashText(blockOf(service), 0);
    std::vector<RankedHost> ranked;
    const auto add = [&](bool preferred) {
        for (const auto &[domain, names] : hosts_) {
            if (domains.contains(domain) != preferred)
                continue;
            for (const auto *name : names)
                ranked.push_back({preferred, hashText(*name, seed), name});
        }
    };
    add(true);
    // Hosts in other failure domains rank below all preferred hosts.
    if (ranked.size() < count)
        add(false);
    return bestNames(std::move(ranked), count);
}

std::vector<std::string> rankDispatchers(const ClusterView &view, std::string_view service)
{
    return DispatcherRanking(view).first(service, view.entryHosts.size());
}

std::vector<std::string> rankEntries(const ClusterView &view, std::string_view caller)
{
    const auto seed = hashText(caller, 0);
    std::vector<RankedHost> ranked;
    for (const auto &[name, host] : view.entryHosts) {
        if (view.isAvailable(host))
            ranked.push_back({false, hashText(name, seed), &name});
    }
    return bestNames(std::move(ranked), view.entryHosts.size());
}

} // namespace persimmon::state
