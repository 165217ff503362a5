#pragma once

#include "standin/platform_service.h"
#include "standin/upstream.h"

namespace persimmon::standin {

/// Settings of a whole stand-in.
struct StandInSettings
{
    std::string folder;
    /// First two numbers of all addresses, or "" to keep those of the deployment.
    std::string network;
    transport::Endpoint platform;
    std::chrono::microseconds serviceTime{5000};
    double spread = 0.2;
    std::uint64_t seed = 1;
    /// Upstreams start cold instead of warm.
    bool cold = false;
};

/// All upstreams of a deployment with the configuration service and the host list.
/// The runtime must have one thread, since no state here is locked, and must be stopped before the
/// stand-in ends.
class StandIn
{
public:
    StandIn(transport::Runtime &runtime, StandInSettings settings);

    /// Loads the deployment and listens on all addresses.
    Status<StandinError> start();

    using UpstreamFilter = std::function<bool(const Upstream &)>;
    /// @return the upstreams that @p filter accepts.
    std::vector<Upstream *> upstreams(const UpstreamFilter &filter);

    /// Publishes a new snapshot of @p group and removes the older ones after @p keep.
    /// @param services services that share the key space equally; empty keeps the shard map.
    /// @return the new snapshot's id.
    StandinResult<std::uint64_t> publish(const std::string &group,
                                         const std::vector<std::string> &services,
                                         std::chrono::milliseconds keep);

    /// Runs @p action after @p delay.
    void runLater(std::chrono::milliseconds delay, std::function<void()> action);

    PlatformStore &store() { return *store_; }
    PlatformService &platform() { return *platform_; }
    ExecutionLog &log() { return log_; }
    transport::Runtime &runtime() { return runtime_; }

private:
    StandinResult<UpstreamSettings> describe(const protocol::HostRecord &host) const;
    Status<StandinError> startUpstream(const protocol::HostRecord &host);
    void removeOlder(const std::string &group, std::uint64_t newest);

    transport::Runtime &runtime_;
    StandInSettings settings_;
    Deployment deployment_;
    ExecutionLog log_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::unique_ptr<PlatformStore> store_;
    std::unique_ptr<PlatformService> platform_;
};

} // namespace persimmon::standin
