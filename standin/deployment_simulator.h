#pragma once

#include "standin/simulated_platform_service.h"
#include "standin/simulated_upstream.h"

namespace persimmon::standin {

/// Settings of a simulated deployment.
struct SimulatorSettings
{
    /// Directory with config.json and hosts.json.
    std::string folder;
    /// First two octets of all addresses; empty keeps those of the deployment.
    std::string network;
    /// Address of the configuration service and the host list.
    transport::Endpoint platform;
    /// Median execution time.
    std::chrono::microseconds serviceTime{5000};
    /// Standard deviation of the logarithm of the execution time.
    double serviceTimeSigma = 0.2;
    std::uint64_t seed = 1;
    /// Whether upstreams start cold instead of warm.
    bool cold = false;
};

/// Simulates all upstreams of a deployment, its configuration service and its host list.
/// Not thread-safe: the runtime must have one thread. It must be stopped before the simulator is
/// destroyed.
class DeploymentSimulator
{
public:
    DeploymentSimulator(transport::Runtime &runtime, SimulatorSettings settings);

    /// Loads the deployment and starts listening on all addresses.
    /// @return FileUnreadable, DeploymentInvalid or BindFailed on failure.
    Status<SimulatorError> start();

    using UpstreamFilter = std::function<bool(const SimulatedUpstream &)>;
    /// @return the upstreams that match @p filter.
    std::vector<SimulatedUpstream *> upstreams(const UpstreamFilter &filter);

    /// Publishes a new snapshot of @p group and removes the older ones after @p retention.
    /// @param services services among which the key space is divided equally; empty keeps the shard
    /// map.
    /// @return the id of the new snapshot, or CommandInvalid if the group or a service is unknown.
    SimulatorResult<std::uint64_t> publishSnapshot(const std::string &group,
                                                   const std::vector<std::string> &services,
                                                   std::chrono::milliseconds retention);

    /// Runs @p action after @p delay.
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);

    SimulatedPlatformStore &store() { return *store_; }
    SimulatedPlatformService &platform() { return *platform_; }
    ExecutionLog &log() { return log_; }
    transport::Runtime &runtime() { return runtime_; }

private:
    SimulatorResult<SimulatedUpstreamSettings>
    makeUpstreamSettings(const protocol::HostRecord &host) const;
    Status<SimulatorError> startUpstream(const protocol::HostRecord &host);
    void removeOlderSnapshots(const std::string &group, std::uint64_t newest);

    transport::Runtime &runtime_;
    SimulatorSettings settings_;
    Deployment deployment_;
    ExecutionLog log_;
    std::vector<std::unique_ptr<SimulatedUpstream>> upstreams_;
    std::unique_ptr<SimulatedPlatformStore> store_;
    std::unique_ptr<SimulatedPlatformService> platform_;
};

} // namespace persimmon::standin
