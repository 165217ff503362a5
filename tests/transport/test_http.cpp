#include "tests/support/raw_http.h"
#include "transport/transport.h"

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace persimmon;
using namespace persimmon::transport;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

Endpoint loopback(std::uint16_t port = 0)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

template <typename Value>
Value await(Runtime &runtime, asio::awaitable<Value> task)
{
    return asio::co_spawn(runtime.makeStrand(), std::move(task), asio::use_future).get();
}

} // namespace

// Guards against a shutdown that cuts off a request of which only a part has arrived.
TEST_CASE("drain waits for the rest of a request")
{
    Runtime runtime(2);
    HttpServer server(runtime, [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        co_return HttpResponse{200, request.body};
    });
    const auto endpoint = valueOf(server.listen(loopback()));
    runtime.start();
    tests::RawCaller caller(endpoint.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(100ms);
    auto drained = asio::co_spawn(runtime.makeStrand(), server.drain(), asio::use_future);
    std::this_thread::sleep_for(100ms);
    caller.send("dy");
    CHECK(tests::statusOf(caller.receive()) == 200);
    CHECK(drained.wait_for(2s) == std::future_status::ready);
    runtime.stop();
}

// Guards against connections that the kernel has accepted, and resets when the listener is closed.
TEST_CASE("drain serves the connections in the backlog")
{
    constexpr int CallerCount = 20;
    Runtime runtime(1);
    HttpServer server(runtime, [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        co_return HttpResponse{200, request.body};
    });
    const auto endpoint = valueOf(server.listen(loopback()));
    // The runtime starts only after the callers have connected and the drain is due.
    std::vector<std::unique_ptr<tests::RawCaller>> callers;
    for (int i = 0; i < CallerCount; ++i) {
        callers.push_back(std::make_unique<tests::RawCaller>(endpoint.port()));
        callers.back()->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    auto drained = asio::co_spawn(runtime.makeStrand(), server.drain(), asio::use_future);
    runtime.start();
    int served = 0;
    for (const auto &caller : callers)
        served += tests::statusOf(caller->receive()) == 200 ? 1 : 0;
    CHECK(served == CallerCount);
    CHECK(drained.wait_for(2s) == std::future_status::ready);
    runtime.stop();
}

// Guards against a late second response that is read as the response to the next request.
TEST_CASE("a connection is closed if bytes follow a response")
{
    Runtime runtime(1);
    const tests::RawUpstream server([](const std::string &) {
        const auto response = tests::makeResponse("body", "");
        return tests::RawResponse{response + response, false};
    });
    runtime.start();
    const auto connection = std::make_shared<HttpConnection>(runtime.makeStrand());
    const auto endpoint = valueOf(parseEndpoint(server.address()));
    REQUIRE(isOk(await(runtime, connection->connect(endpoint, 1s))));
    HttpRequest request("GET", "/");
    CHECK(isOk(await(runtime, connection->send(request, 1s))));
    CHECK_FALSE(connection->isOpen());
    runtime.stop();
}

// Guards against a peer that fills the memory with framing that never ends.
// Guards against the late second response to an earlier request that answers the next one.
TEST_CASE("a late response to an earlier request is never taken for the next one's")
{
    Runtime runtime(1);
    const tests::RawUpstream server([](const std::string &request) {
        const auto body = request.substr(0, request.find(" HTTP/"));
        tests::RawResponse response{tests::makeResponse(body, "")};
        response.later = response.bytes;
        response.laterBy = 5ms;
        return response;
    });
    runtime.start();
    const auto connection = std::make_shared<HttpConnection>(runtime.makeStrand());
    REQUIRE(isOk(
            await(runtime, connection->connect(valueOf(parseEndpoint(server.address())), 1s))));
    HttpRequest first("GET", "/first");
    CHECK(valueOf(await(runtime, connection->send(first, 1s))).body == "GET /first");
    while (server.laterCount() == 0)
        std::this_thread::sleep_for(1ms);
    HttpRequest second("GET", "/second");
    const auto response = await(runtime, connection->send(second, 1s));
    REQUIRE_FALSE(isOk(response));
    CHECK_FALSE(errorOf(response).written);
    CHECK_FALSE(connection->isOpen());
    CHECK(server.requests().size() == 1);
    runtime.stop();
}

TEST_CASE("a response whose framing never ends closes the connection")
{
    Runtime runtime(1);
    const tests::RawUpstream server([](const std::string &) {
        return tests::RawResponse{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", false,
                                  0ms, std::string(16U * 1024U, 'x')};
    });
    runtime.start();
    const auto connection = std::make_shared<HttpConnection>(runtime.makeStrand());
    const auto endpoint = valueOf(parseEndpoint(server.address()));
    REQUIRE(isOk(await(runtime, connection->connect(endpoint, 1s))));
    HttpRequest request("GET", "/");
    const auto result = await(runtime, connection->send(request, 3s));
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == TransportErrorCode::TooLarge);
    CHECK_FALSE(connection->isOpen());
    runtime.stop();
}

// Guards against a shutdown that aborts a request in progress.
TEST_CASE("drain waits for the active request")
{
    Runtime runtime(2);
    HttpServer server(runtime, [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
        co_await runtime.clock().sleep(100ms);
        co_return HttpResponse{200, request.body};
    });
    const auto endpoint = valueOf(server.listen(loopback()));
    runtime.start();
    auto response =
            asio::co_spawn(runtime.makeStrand(),
                           fetchOnce(runtime, endpoint, {"POST", "/", "x"}, 5s), asio::use_future);
    while (server.activeRequests() == 0)
        std::this_thread::sleep_for(1ms);
    await(runtime, server.drain());
    const auto result = response.get();
    REQUIRE(isOk(result));
    CHECK(valueOf(result).body == "x");
    const auto refused = await(runtime, fetchOnce(runtime, endpoint, {}, 5s));
    REQUIRE_FALSE(isOk(refused));
    CHECK_FALSE(errorOf(refused).written);
}

// Guards against an oversized body that is read into memory or rejected without the configured
// response.
TEST_CASE("a body above the limit receives the configured response")
{
    Runtime runtime(1);
    HttpServerOptions options;
    options.maxBodyBytes = 10;
    options.makeTooLargeResponse = [] { return HttpResponse{413, "typed"}; };
    HttpServer server(
            runtime,
            [](const HttpRequest &) -> asio::awaitable<HttpResponse> { co_return HttpResponse{}; },
            options);
    const auto endpoint = valueOf(server.listen(loopback()));
    runtime.start();
    const auto result =
            await(runtime, fetchOnce(runtime, endpoint, {"POST", "/", std::string(100, 'x')}, 5s));
    REQUIRE(isOk(result));
    CHECK(valueOf(result).status == 413);
    CHECK(valueOf(result).body == "typed");
}

// Guards against a request that waits forever for an unresponsive peer, and against reporting such
// a request as not written.
TEST_CASE("a request to an unresponsive server times out and is reported as written")
{
    Runtime runtime(1);
    asio::ip::tcp::acceptor acceptor(runtime.context(), loopback());
    runtime.start();
    const auto result = await(runtime, fetchOnce(runtime, acceptor.local_endpoint(), {}, 100ms));
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == TransportErrorCode::Timeout);
    CHECK(errorOf(result).written);
}

// Guards against reporting the failure of a method call as a result.
TEST_CASE("JSON-RPC calls return results and errors")
{
    Runtime runtime(1);
    RpcService service;
    service.add("double", [](const Json::Value &parameters) {
        Json::Value result;
        result["value"] = parameters["value"].asInt() * 2;
        return result;
    });
    HttpServer server(runtime, [&](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
        co_return service.handle(request.body);
    });
    const auto endpoint = valueOf(server.listen(loopback()));
    runtime.start();
    const auto strand = runtime.makeStrand();
    RpcClient client(strand, endpoint);
    Json::Value parameters;
    parameters["value"] = 21;
    const auto call = [&](const std::string &method) {
        return asio::co_spawn(strand, client.call(method, parameters, 5s), asio::use_future).get();
    };
    const auto good = call("double");
    REQUIRE(isOk(good));
    CHECK(valueOf(good)["value"].asInt() == 42);
    CHECK_FALSE(isOk(call("missing")));
}

// Guards against a response of a peer or of the store that counts as complete and empty because its
// sender ended in the middle of the head.
TEST_CASE("a response whose head breaks off anywhere is an error")
{
    Runtime runtime(1);
    runtime.start();
    const std::string head = "HTTP/1.1 200 OK\r\nX-Own: kept\r\nConnection: close\r\n\r\n";
    std::string broken;
    const tests::RawUpstream upstream([&broken](const std::string &) {
        return tests::RawResponse{broken, true};
    });
    const auto endpoint = valueOf(parseEndpoint(upstream.address()));
    for (std::size_t length = 0; length < head.size(); ++length) {
        CAPTURE(head.substr(0, length));
        broken = head.substr(0, length);
        const auto connection = std::make_shared<HttpConnection>(runtime.makeStrand());
        REQUIRE(isOk(await(runtime, connection->connect(endpoint, 1s))));
        HttpRequest request("GET", "/", "");
        CHECK_FALSE(isOk(await(runtime, connection->send(std::move(request), 1s))));
    }
    runtime.stop();
}

// Guards against the body of a request that is executed as the next request of the connection.
TEST_CASE(
        "a request with another transfer coding than chunked is rejected and the connection closed")
{
    Runtime runtime(2);
    std::atomic<int> executed = 0;
    HttpServer server(runtime, [&](HttpRequest) -> asio::awaitable<HttpResponse> {
        ++executed;
        co_return HttpResponse{200, "{}"};
    });
    const auto endpoint = valueOf(server.listen(loopback()));
    runtime.start();
    const std::string inner = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    for (const std::string coding : {"gzip", "chunked, gzip", "gzip, chunked"}) {
        CAPTURE(coding);
        tests::RawCaller caller(endpoint.port());
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding
                    + "\r\n\r\n0\r\n\r\n" + inner);
        CHECK(tests::statusOf(caller.receive()) >= 400);
        CHECK(tests::statusOf(caller.receive()) == 0);
    }
    CHECK(executed == 0);
    runtime.stop();
}
