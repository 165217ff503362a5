#include "tests/standin/stand_in_fixture.h"

#include <thread>

using namespace persimmon;
using namespace persimmon::standin;
using namespace std::chrono_literals;

namespace {

int statusOf(const StandInFixture::Response &response)
{
    REQUIRE(isOk(response));
    return valueOf(response).status;
}

} // namespace

// Guards against a second execution of a payment that the counters would not show.
TEST_CASE("each execution is counted by request id and names shard and snapshot")
{
    StandInFixture standIn;
    const auto first = standIn.execute(UpstreamA, "pay 1").get();
    REQUIRE(statusOf(first) == 200);
    REQUIRE(statusOf(standIn.execute(UpstreamB, "pay 1").get()) == 200);
    CHECK(valueOf(first).body.find(R"("id":"g-01/1/0")") != std::string::npos);
    const auto counted = standIn.get(Control, "/executions?request_id=pay%201");
    CHECK(counted.at("count").to_number<int>() == 2);
    CHECK(standIn.get(Control, "/executions?request_id=other").at("count").to_number<int>() == 0);
}

// Guards against a stand-in that hides a broken cold ramp: overload must cost all connections and
// the incarnation.
TEST_CASE("a cold upstream that gets too much work drops its connections and restarts")
{
    StandInFixture standIn;
    standIn.fault(R"({"kind":"cold","upstream":"g-01-a"})");
    const auto before = standIn.get(UpstreamA, "/v1/health").at("incarnation");
    std::vector<std::future<StandInFixture::Response>> calls;
    for (int i = 0; i < 3; ++i)
        calls.push_back(standIn.execute(UpstreamA, "r" + std::to_string(i)));
    for (auto &call : calls)
        CHECK_FALSE(isOk(call.get()));
    std::this_thread::sleep_for(Upstream::DefaultDowntime + 200ms);
    const auto health = standIn.get(UpstreamA, "/v1/health");
    CHECK(health.at("state").as_string() == "cold");
    CHECK(health.at("incarnation") != before);
    CHECK(standIn.get(Control, "/state").at("cold_overloads").to_number<int>() == 1);
}

// Guards against replicas that answer from a snapshot which they do not hold.
TEST_CASE("a lagging replica refuses a new snapshot and old ones disappear")
{
    StandInFixture standIn;
    standIn.fault(R"({"kind":"replica_lag","upstream":"g-01-a"})");
    standIn.fault(R"({"kind":"publish","group":"g","keep_ms":200})");
    const auto missing = standIn.execute(UpstreamA, "r", 2).get();
    CHECK(statusOf(missing) == 409);
    CHECK(valueOf(missing).body.find(R"("held":[1])") != std::string::npos);
    CHECK(statusOf(standIn.execute(UpstreamA, "r", 1).get()) == 200);
    CHECK(statusOf(standIn.execute(UpstreamB, "r", 2).get()) == 200);
    std::this_thread::sleep_for(400ms);
    CHECK(statusOf(standIn.execute(UpstreamB, "r", 1).get()) == 409);
}

// Guards against a silence fault that also stops new connections, which clients must be able to
// use.
TEST_CASE("silenced connections never answer while new ones do")
{
    StandInFixture standIn;
    transport::Runtime client(1);
    client.start();
    const auto connection = std::make_shared<transport::HttpConnection>(client.makeStrand());
    auto connect = [&]() -> boost::asio::awaitable<Status<transport::TransportError>> {
        const auto endpoint = valueOf(transport::parseEndpoint(UpstreamA));
        co_return co_await connection->connect(endpoint, StandInFixture::Timeout);
    };
    auto ask = [&]() -> boost::asio::awaitable<StandInFixture::Response> {
        transport::HttpRequest request;
        request.target = "/v1/health";
        co_return co_await connection->send(request, 500ms);
    };
    const auto run = [&](auto task) {
        return boost::asio::co_spawn(connection->executor(), task(), boost::asio::use_future).get();
    };
    REQUIRE(isOk(run(connect)));
    CHECK(statusOf(run(ask)) == 200);
    standIn.fault(R"({"kind":"silent","connections":"open"})");
    const auto answer = run(ask);
    client.stop();
    REQUIRE_FALSE(isOk(answer));
    CHECK(errorOf(answer).code == transport::TransportErrorCode::Timeout);
    CHECK(statusOf(standIn.execute(UpstreamA, "r").get()) == 200);
}

// Guards against tests of a stale configuration service that would read the newest revision.
TEST_CASE("edits raise the revision and a stale service hides them")
{
    StandInFixture standIn;
    standIn.fault(R"({"kind":"config_stale"})");
    standIn.fault(R"({"kind":"config_set","key":"out/domains","value":["d-a"]})");
    CHECK(standIn.get(Platform, "/v1/config?since=0").at("revision").to_number<int>() == 1);
    standIn.fault(R"({"kind":"config_stale","on":false})");
    const auto changed = standIn.get(Platform, "/v1/config?since=1&wait_ms=100");
    CHECK(changed.at("revision").to_number<int>() == 2);
    REQUIRE(changed.at("entries").as_array().size() == 1);
    standIn.fault(R"({"kind":"config_down"})");
    CHECK(statusOf(standIn.send(Platform, "GET", "/v1/config").get()) == 503);
    CHECK(statusOf(standIn.send(Control, "POST", "/fault", R"({"kind":"none"})").get()) == 400);
}
