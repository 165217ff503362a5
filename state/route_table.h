#pragma once

#include "state/routing_config.h"

#include <string_view>
#include <unordered_map>

namespace persimmon::state {

/// Looks up the route of a request in one version of the configuration. Immutable; a running
/// request holds the version that it started with.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// @param host host name of the request; a port is ignored.
    /// @param target path and query string.
    /// @return the route of that host with the longest matching path prefix, or null.
    const Route *find(std::string_view host, std::string_view target) const;

    /// @return all routes of a host name, longest prefix first.
    std::vector<const Route *> routesOf(std::string_view host) const;

    const RoutingConfig &config() const { return config_; }

private:
    RoutingConfig config_;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

} // namespace persimmon::state
