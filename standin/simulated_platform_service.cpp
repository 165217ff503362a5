#include "standin/simulated_platform_service.h"

#include "protocol/platform_codec.h"
#include "standin/request_target.h"

#include <algorithm>

namespace asio = boost::asio;

namespace persimmon::standin {

using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr std::chrono::milliseconds WatchPollInterval{10};
constexpr std::chrono::milliseconds MaxWatchDuration{60'000};

/// @return the position that a reader states. A reader that states no era knows of none and is
///         served by revision alone.
protocol::HistoryPosition statedPosition(const std::string &target, std::uint64_t currentEra)
{
    const auto era = targetNumber(target, "era");
    return {era == 0 ? currentEra : era, targetNumber(target, "since")};
}

} // namespace

SimulatedPlatformService::SimulatedPlatformService(transport::Runtime &runtime,
                                                   SimulatedPlatformStore &store)
    : runtime_(runtime),
      store_(store)
{
}

transport::TransportResult<transport::Endpoint>
SimulatedPlatformService::start(const transport::Endpoint &endpoint)
{
    server_ = std::make_unique<transport::HttpServer>(
            runtime_, [this](HttpRequest request) { return handle(std::move(request)); });
    return server_->listen(endpoint);
}

asio::awaitable<HttpResponse> SimulatedPlatformService::handle(HttpRequest request)
{
    const auto path = targetPath(request.target);
    if (request.method == "GET" && path == "/v1/config")
        co_return co_await readConfig(request.target);
    if (request.method == "GET" && path == "/v1/hosts")
        co_return co_await readHosts(request.target);
    co_return HttpResponse{404, R"({"error":"not_found"})"};
}

asio::awaitable<HttpResponse> SimulatedPlatformService::readConfig(std::string target)
{
    recordRead();
    const std::chrono::milliseconds wait(targetNumber(target, "wait_ms"));
    const auto end = runtime_.clock().now() + std::min(wait, MaxWatchDuration);
    if (faults_.configDelay.count() > 0)
        co_await runtime_.clock().sleep(faults_.configDelay);
    while (true) {
        if (faults_.configDown)
            co_return HttpResponse{503, R"({"error":"unavailable"})"};
        const auto &source = faults_.staleConfig ? *faults_.staleConfig : store_;
        const auto since = statedPosition(target, source.era());
        const protocol::HistoryPosition current{source.era(), source.revision()};
        if (current > since || runtime_.clock().now() >= end)
            co_return HttpResponse{200, protocol::encodeConfigResponse(source.changes(since))};
        co_await runtime_.clock().sleep(WatchPollInterval);
    }
}

asio::awaitable<HttpResponse> SimulatedPlatformService::readHosts(std::string target)
{
    recordRead();
    const std::chrono::milliseconds wait(targetNumber(target, "wait_ms"));
    const auto end = runtime_.clock().now() + std::min(wait, MaxWatchDuration);
    while (!store_.hostChanges(statedPosition(target, store_.era())).hosts
           && runtime_.clock().now() < end)
        co_await runtime_.clock().sleep(WatchPollInterval);
    const auto since = statedPosition(target, store_.era());
    co_return HttpResponse{200, protocol::encodeHostsResponse(store_.hostChanges(since))};
}

std::size_t SimulatedPlatformService::readsInLastSecond()
{
    const auto oldest = runtime_.clock().now() - std::chrono::seconds(1);
    while (!readTimes_.empty() && readTimes_.front() < oldest)
        readTimes_.pop_front();
    return readTimes_.size();
}

void SimulatedPlatformService::recordRead()
{
    ++reads_;
    readTimes_.push_back(runtime_.clock().now());
    peakReadsPerSecond_ = std::max(peakReadsPerSecond_, readsInLastSecond());
}

} // namespace persimmon::standin
