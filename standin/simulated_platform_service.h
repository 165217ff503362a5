#pragma once

#include "standin/simulated_platform_store.h"
#include "transport/http_server.h"

#include <deque>

namespace persimmon::standin {

/// Faults of the configuration service. They do not affect the host list.
struct PlatformFaults
{
    /// Responds to every configuration read with 503.
    bool configDown = false;
    /// Added to the response time of every configuration read.
    std::chrono::milliseconds configDelay{0};
    /// Older copy that is served instead of the current data.
    std::optional<SimulatedPlatformStore> staleConfig;
    /// Copy from which both services are restored.
    std::optional<SimulatedPlatformStore> backup;
};

/// HTTP server that simulates the platform's configuration service and host list.
class SimulatedPlatformService
{
public:
    SimulatedPlatformService(transport::Runtime &runtime, SimulatedPlatformStore &store);

    /// Starts listening on @p endpoint.
    /// @return the bound endpoint or the error of the bind.
    transport::TransportResult<transport::Endpoint> start(const transport::Endpoint &endpoint);

    PlatformFaults &faults() { return faults_; }
    /// @return number of reads of configuration and host list.
    std::uint64_t reads() const { return reads_; }
    /// @return number of reads in the last second.
    std::size_t readsInLastSecond();
    std::size_t peakReadsPerSecond() const { return peakReadsPerSecond_; }

private:
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> readConfig(std::string target);
    boost::asio::awaitable<transport::HttpResponse> readHosts(std::string target);
    void recordRead();

    transport::Runtime &runtime_;
    SimulatedPlatformStore &store_;
    PlatformFaults faults_;
    std::unique_ptr<transport::HttpServer> server_;
    std::uint64_t reads_ = 0;
    std::size_t peakReadsPerSecond_ = 0;
    std::deque<transport::TimePoint> readTimes_;
};

} // namespace persimmon::standin
