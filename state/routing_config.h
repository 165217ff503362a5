#pragma once

#include "protocol/priority.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::state {

/// A service of a route with its relative share of the requests.
struct WeightedService
{
    std::string service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// Settings of a scatter-gather route, which merges the responses of several services, the shards
/// of an index.
struct GatherSettings
{
    /// Names of the services; empty for a route without gathering.
    std::vector<std::string> shards;
    /// Maximum number of records in a response.
    std::size_t topRecords = 0;
    /// Minimum fraction of the shards in a successful response, 0 to 1.
    double minFraction = 0;

    bool operator==(const GatherSettings &) const = default;
};

/// Routing of the requests for one host name and path prefix.
struct Route
{
    std::string name;
    /// Host name in the requests.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    bool idempotent = true;
    /// Maximum time until a request is answered.
    std::chrono::milliseconds timeout{0};
    /// Target response time; a later response is worth less to the caller.
    std::chrono::milliseconds goal{0};
    /// Maximum number of upstreams that may execute one request, for each shard separately.
    std::uint32_t upstreamLimit = 1;
    protocol::Priority priority = protocol::Priority::Normal;
    /// One service, or several with the requests split by weight. Empty for a scatter-gather route.
    std::vector<WeightedService> targets;
    GatherSettings gather;
    /// Regions whose upstreams may serve the route; empty for all.
    std::vector<std::string> homeRegions;

    bool isGather() const { return !gather.shards.empty(); }
    bool operator==(const Route &) const = default;
};

/// Operator settings of one service.
struct ServiceInfo
{
    std::string healthPath;
    /// Connections that one upstream accepts from all hosts in sum.
    std::uint32_t maxConnections = 0;
    /// Warm-up time of a cold upstream.
    std::chrono::milliseconds coldTime{0};
    /// Requests per second that a cold upstream can execute; 0 for no limit.
    double coldRate = 0;

    bool operator==(const ServiceInfo &) const = default;
};

/// Limits on the requests and connections of callers.
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 1024 * 1024;
    std::chrono::milliseconds headerTime{5000};
    std::chrono::milliseconds idleTime{60'000};

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the operator's configuration.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceInfo> services;
    CallerLimits limits;

    bool operator==(const RoutingConfig &) const = default;
};

} // namespace persimmon::state
