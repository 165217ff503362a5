#include "state/route_table.h"

#include <algorithm>
#include <cctype>

namespace persimmon::state {

namespace {

std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(RoutingConfig config) : config_(std::move(config))
{
    for (const auto &route : config_.routes)
        byHost_[normalizeHost(route.host)].push_back(&route);
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(normalizeHost(host));
    if (found == byHost_.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto *route : found->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

std::vector<const Route *> RouteTable::routesOf(std::string_view host) const
{
    const auto found = byHost_.find(normalizeHost(host));
    return found == byHost_.end() ? std::vector<const Route *>{} : found->second;
}

} // namespace persimmon::state
