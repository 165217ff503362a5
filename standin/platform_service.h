#pragma once

#include "standin/platform_store.h"
#include "transport/http_server.h"

#include <deque>

namespace persimmon::standin {

/// How the configuration service misbehaves. The host list is not affected.
struct PlatformFaults
{
    /// Every read is answered with 503.
    bool down = false;
    std::chrono::milliseconds delay{0};
    /// Answers come from this older copy.
    std::optional<PlatformStore> stale;
};

/// HTTP front of the configuration service and of the host list.
class PlatformService
{
public:
    PlatformService(transport::Runtime &runtime, PlatformStore &store);

    transport::TransportResult<transport::Endpoint> start(const transport::Endpoint &endpoint);

    PlatformFaults &faults() { return faults_; }
    std::uint64_t reads() const { return reads_; }
    /// @return reads of the last second.
    std::size_t recentReads();
    std::size_t peakReadsPerSecond() const { return peakReads_; }

private:
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);
    boost::asio::awaitable<transport::HttpResponse> readConfig(std::string target);
    boost::asio::awaitable<transport::HttpResponse> readHosts(std::string target);
    void countRead();

    transport::Runtime &runtime_;
    PlatformStore &store_;
    PlatformFaults faults_;
    std::unique_ptr<transport::HttpServer> server_;
    std::uint64_t reads_ = 0;
    std::size_t peakReads_ = 0;
    std::deque<transport::TimePoint> readTimes_;
};

} // namespace persimmon::standin
