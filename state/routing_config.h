#pragma once

#include "protocol/priority.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::state {

/// A service of a route with its part of the requests.
struct WeightedService
{
    std::string service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// A route that is answered from several services, the shards of an index.
struct GatherSettings
{
    std::vector<std::string> shards;
    /// Records of an answer.
    std::size_t topRecords = 0;
    /// Least part of the shards that a success must include, 0 to 1.
    double leastFraction = 0;

    bool operator==(const GatherSettings &) const = default;
};

/// How requests of one host name below one path prefix are served.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    bool idempotent = true;
    /// Longest time that a request is kept.
    std::chrono::milliseconds timeout{0};
    /// Time within which an answer has its full value.
    std::chrono::milliseconds goal{0};
    /// Upstreams that may execute one request; for each shard separately.
    std::uint32_t upstreamLimit = 1;
    protocol::Priority priority = protocol::Priority::Normal;
    /// One service, or several that share the requests by weight. Empty with shards.
    std::vector<WeightedService> targets;
    GatherSettings gather;
    /// Regions whose upstreams may serve it; empty for all.
    std::vector<std::string> homeRegions;

    bool isGather() const { return !gather.shards.empty(); }
    bool operator==(const Route &) const = default;
};

/// What the operator says of one service.
struct ServiceInfo
{
    std::string healthPath;
    /// Connections that one upstream accepts from all hosts together.
    std::uint32_t maxConnections = 0;
    std::chrono::milliseconds coldTime{0};
    /// Requests per second that a cold upstream bears; 0 sets no limit.
    double coldRate = 0;

    bool operator==(const ServiceInfo &) const = default;
};

/// What a caller may send.
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
