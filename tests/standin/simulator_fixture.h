#pragma once

#include "protocol/upstream_codec.h"
#include "standin/standin.h"
#include "transport/http_connection.h"

#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace persimmon::standin {

/// Simulates one group with one service of two upstreams, on addresses used by no other test.
class SimulatorFixture
{
public:
    SimulatorFixture() : runtime_(1)
    {
        const auto folder = std::filesystem::temp_directory_path()
                            / ("persimmon-standin-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        std::ofstream(folder / "config.json")
                << R"({"group/g":{"slots":2,"connections":9,"connection_cost_ms":1,"cold_limit":1},)"
                << R"("index/g":{"snapshots":[{"id":1,"shards":[)"
                << R"({"id":"g-01","service":"g-01","from":0,"to":65536}]}]}})";
        std::ofstream(folder / "hosts.json")
                << "[" << hostRow("a", 1) << "," << hostRow("b", 2) << "]";
        SimulatorSettings settings;
        settings.folder = folder.string();
        settings.network = "127.43";
        settings.platform = valueOf(transport::parseEndpoint("127.43.0.1:7000"));
        settings.serviceTime = std::chrono::milliseconds(30);
        simulator_ = std::make_unique<DeploymentSimulator>(runtime_, settings);
        control_ = std::make_unique<ControlService>(*simulator_);
        const auto started = simulator_->start();
        std::filesystem::remove_all(folder);
        REQUIRE(isOk(started));
        REQUIRE(isOk(control_->start(valueOf(transport::parseEndpoint("127.43.0.1:7001")))));
        runtime_.start();
    }
    ~SimulatorFixture() { runtime_.stop(); }

    using Response = transport::TransportResult<transport::HttpResponse>;

    std::future<Response> send(const std::string &address, const std::string &method,
                               const std::string &target, const std::string &body = "")
    {
        return boost::asio::co_spawn(
                runtime_.context(),
                transport::fetchOnce(runtime_, valueOf(transport::parseEndpoint(address)),
                                     {method, target, body}, Timeout),
                boost::asio::use_future);
    }

    /// Sends a fault command to the control endpoint and requires that it succeeds.
    void fault(const std::string &command)
    {
        const auto response = send("127.43.0.1:7001", "POST", "/fault", command).get();
        REQUIRE(isOk(response));
        REQUIRE(valueOf(response).status == 200);
    }

    /// @return the JSON response to a GET request, for example to the control endpoint's /state.
    boost::json::object get(const std::string &address, const std::string &target)
    {
        const auto response = send(address, "GET", target).get();
        REQUIRE(isOk(response));
        return boost::json::parse(valueOf(response).body).as_object();
    }

    std::future<Response> execute(const std::string &address, const std::string &requestId,
                                  std::uint64_t snapshot = 1)
    {
        protocol::ExecuteRequest request;
        request.requestId = requestId;
        request.attempt = 1;
        request.shard = "g-01";
        request.snapshot = snapshot;
        request.deadline = std::chrono::milliseconds(1000);
        request.query = R"({"op":"search"})";
        return send(address, "POST", "/v1/execute", protocol::encodeExecuteRequest(request));
    }

    transport::Runtime &runtime() { return runtime_; }

    static constexpr std::chrono::milliseconds Timeout{1500};

private:
    static std::string hostRow(const std::string &replica, int last)
    {
        return R"({"name":"g-01-)" + replica + R"(","kind":"upstream","address":"127.0.9.)"
               + std::to_string(last) + R"(:8000","failure_domain":"d-)" + replica
               + R"(","service":"g-01","state":"live"})";
    }

    transport::Runtime runtime_;
    std::unique_ptr<DeploymentSimulator> simulator_;
    std::unique_ptr<ControlService> control_;
};

inline const std::string UpstreamA = "127.43.9.1:8000";
inline const std::string UpstreamB = "127.43.9.2:8000";
inline const std::string Platform = "127.43.0.1:7000";
inline const std::string Control = "127.43.0.1:7001";

} // namespace persimmon::standin
