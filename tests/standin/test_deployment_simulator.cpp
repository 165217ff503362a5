#include "tests/standin/simulator_fixture.h"

#include <thread>

using namespace persimmon;
using namespace persimmon::standin;
using namespace std::chrono_literals;

namespace {

int statusOf(const SimulatorFixture::Response &response)
{
    REQUIRE(isOk(response));
    return valueOf(response).status;
}

} // namespace

// Guards against a duplicate execution of a payment that is missing from the counters.
TEST_CASE("executions are counted by request id and results contain shard and snapshot")
{
    SimulatorFixture simulator;
    const auto first = simulator.execute(UpstreamA, "pay 1").get();
    REQUIRE(statusOf(first) == 200);
    REQUIRE(statusOf(simulator.execute(UpstreamB, "pay 1").get()) == 200);
    CHECK(valueOf(first).body.find(R"("id":"g-01/1/0")") != std::string::npos);
    const auto counted = simulator.get(Control, "/executions?request_id=pay%201");
    CHECK(counted.at("count").to_number<int>() == 2);
    CHECK(simulator.get(Control, "/executions?request_id=other").at("count").to_number<int>() == 0);
}

// Guards against a simulator that hides a faulty warm-up in its clients: an overload must close all
// connections and change the incarnation.
TEST_CASE("an overloaded cold upstream closes its connections and restarts")
{
    SimulatorFixture simulator;
    simulator.fault(R"({"kind":"cold","upstream":"g-01-a"})");
    const auto before = simulator.get(UpstreamA, "/v1/health").at("incarnation");
    std::vector<std::future<SimulatorFixture::Response>> calls;
    for (int i = 0; i < 3; ++i)
        calls.push_back(simulator.execute(UpstreamA, "r" + std::to_string(i)));
    for (auto &call : calls)
        CHECK_FALSE(isOk(call.get()));
    std::this_thread::sleep_for(SimulatedUpstream::DefaultDowntime + 200ms);
    const auto health = simulator.get(UpstreamA, "/v1/health");
    CHECK(health.at("state").as_string() == "cold");
    CHECK(health.at("incarnation") != before);
    CHECK(simulator.get(Control, "/state").at("cold_overloads").to_number<int>() == 1);
}

// Guards against replicas that execute requests on a snapshot that they do not have.
TEST_CASE("a lagging replica refuses a new snapshot and old snapshots are removed")
{
    SimulatorFixture simulator;
    simulator.fault(R"({"kind":"replica_lag","upstream":"g-01-a"})");
    simulator.fault(R"({"kind":"publish","group":"g","keep_ms":200})");
    const auto missing = simulator.execute(UpstreamA, "r", 2).get();
    CHECK(statusOf(missing) == 409);
    CHECK(valueOf(missing).body.find(R"("held":[1])") != std::string::npos);
    CHECK(statusOf(simulator.execute(UpstreamA, "r", 1).get()) == 200);
    CHECK(statusOf(simulator.execute(UpstreamB, "r", 2).get()) == 200);
    std::this_thread::sleep_for(400ms);
    CHECK(statusOf(simulator.execute(UpstreamB, "r", 1).get()) == 409);
}

// Guards against a silent fault for open connections that also affects new connections.
TEST_CASE("silenced connections never respond while new connections do")
{
    SimulatorFixture simulator;
    transport::Runtime client(1);
    client.start();
    const auto connection = std::make_shared<transport::HttpConnection>(client.makeStrand());
    auto connect = [&]() -> boost::asio::awaitable<Status<transport::TransportError>> {
        const auto endpoint = valueOf(transport::parseEndpoint(UpstreamA));
        co_return co_await connection->connect(endpoint, SimulatorFixture::Timeout);
    };
    auto fetchHealth = [&]() -> boost::asio::awaitable<SimulatorFixture::Response> {
        transport::HttpRequest request;
        request.target = "/v1/health";
        co_return co_await connection->send(request, 500ms);
    };
    const auto run = [&](auto task) {
        return boost::asio::co_spawn(connection->executor(), task(), boost::asio::use_future).get();
    };
    REQUIRE(isOk(run(connect)));
    CHECK(statusOf(run(fetchHealth)) == 200);
    simulator.fault(R"({"kind":"silent","connections":"open"})");
    const auto response = run(fetchHealth);
    client.stop();
    REQUIRE_FALSE(isOk(response));
    CHECK(errorOf(response).code == transport::TransportErrorCode::Timeout);
    CHECK(statusOf(simulator.execute(UpstreamA, "r").get()) == 200);
}

// Guards against a restored service that cannot be told from one that has never been restored.
TEST_CASE("a restored configuration service serves the copy in a new era to readers that state one")
{
    SimulatorFixture simulator;
    simulator.fault(R"({"kind":"platform_copy"})");
    simulator.fault(R"({"kind":"config_set","key":"out/domains","value":["d-a"]})");
    simulator.fault(R"({"kind":"platform_restore"})");
    const auto restored = simulator.get(Platform, "/v1/config?since=2&era=1&wait_ms=2000");
    CHECK(restored.at("revision").to_number<int>() == 1);
    CHECK(restored.at("era").to_number<int>() == 2);
    CHECK(restored.at("complete").as_bool());
    CHECK_FALSE(restored.at("entries").as_array().empty());
    CHECK(simulator.get(Platform, "/v1/config?since=2").at("entries").as_array().empty());
    const auto hosts = simulator.get(Platform, "/v1/hosts?since=1&era=1&wait_ms=2000");
    CHECK(hosts.at("era").to_number<int>() == 2);
    CHECK(hosts.contains("hosts"));
    simulator.fault(R"({"kind":"config_set","key":"out/domains","value":["d-b"]})");
    const auto rewritten = simulator.get(Platform, "/v1/config?since=1&era=2");
    REQUIRE(rewritten.at("entries").as_array().size() == 1);
    CHECK_FALSE(rewritten.contains("complete"));
    CHECK(rewritten.at("entries").at(0).at("era").to_number<int>() == 2);
}

// Guards against a stale configuration service that serves the newest revision.
TEST_CASE("configuration changes increase the revision and a stale service does not return them")
{
    SimulatorFixture simulator;
    simulator.fault(R"({"kind":"config_stale"})");
    simulator.fault(R"({"kind":"config_set","key":"out/domains","value":["d-a"]})");
    CHECK(simulator.get(Platform, "/v1/config?since=0").at("revision").to_number<int>() == 1);
    simulator.fault(R"({"kind":"config_stale","on":false})");
    const auto changed = simulator.get(Platform, "/v1/config?since=1&wait_ms=100");
    CHECK(changed.at("revision").to_number<int>() == 2);
    REQUIRE(changed.at("entries").as_array().size() == 1);
    simulator.fault(R"({"kind":"config_down"})");
    CHECK(statusOf(simulator.send(Platform, "GET", "/v1/config").get()) == 503);
    CHECK(statusOf(simulator.send(Control, "POST", "/fault", R"({"kind":"none"})").get()) == 400);
}
