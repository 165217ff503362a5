#include "coordination/coordination.h"
#include "tests/support/raw_http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace persimmon;
using namespace persimmon::coordination;

namespace asio = boost::asio;

namespace {

std::string hostRow(const std::string &name, const std::string &kind, const std::string &address)
{
    return R"({"name":")" + name + R"(","kind":")" + kind + R"(","address":")" + address
           + R"(","failure_domain":"d","service":"s","state":"live"})";
}

} // namespace

// Guards against hosts that are named to callers or connected to at an address that is none.
TEST_CASE("a host with an odd address is left out of the host list")
{
    std::string row;
    transport::Runtime runtime(1);
    transport::HttpServer server(
            runtime, [&row](transport::HttpRequest) -> asio::awaitable<transport::HttpResponse> {
                co_return transport::HttpResponse(
                        200, R"({"revision":3,"hosts":[)" + hostRow("e1", "entry", "127.0.0.1")
                                     + "," + row + "," + hostRow("u1", "upstream", "127.0.0.1:1")
                                     + "]}");
            });
    const auto endpoint = valueOf(server.listen({asio::ip::make_address("127.0.0.1"), 0}));
    runtime.start();
    ConfigServiceClient client(runtime.makeStrand(), endpoint);
    for (const std::string address :
         {"127.0.0.1:65536", "127.0.0.1:4294967297", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1",
          "127.0.0.256:1", ":1", "", "somewhere", "127.0.0.1:1e3", "127.0.0.1:80 "}) {
        for (const std::string kind : {"upstream", "entry"}) {
            if (kind == "entry" && address == "127.0.0.1")
                continue;
            CAPTURE(address);
            row = hostRow("odd", kind, address);
            auto reading = asio::co_spawn(runtime.context(),
                                          client.readHosts({}, std::chrono::milliseconds(0)),
                                          asio::use_future);
            const auto response = reading.get();
            REQUIRE(isOk(response));
            REQUIRE(valueOf(response).hosts);
            const auto &hosts = *valueOf(response).hosts;
            REQUIRE(hosts.size() == 2);
            CHECK(hosts[0].name == "e1");
            CHECK(hosts[1].name == "u1");
            CHECK(valueOf(response).invalidRows.size() == 1);
        }
    }
    server.close();
    runtime.stop();
}

// Guards against a configuration that is taken from the late second response to another request.
TEST_CASE("a late response of the configuration service answers no other request")
{
    const tests::RawUpstream service([](const std::string &request) {
        const bool isFirst = request.find("since=1") != std::string::npos;
        const std::string revision = isFirst ? "3" : "4";
        tests::RawResponse response{
                tests::makeResponse(R"({"revision":)" + revision + R"(,"hosts":[]})", "")};
        response.later = response.bytes;
        response.laterBy = std::chrono::milliseconds(5);
        return response;
    });
    transport::Runtime runtime(1);
    runtime.start();
    ConfigServiceClient client(runtime.makeStrand(),
                               valueOf(transport::parseEndpoint(service.address())));
    for (const std::uint64_t since : {1, 2}) {
        auto reading = asio::co_spawn(runtime.context(),
                                      client.readHosts({0, since}, std::chrono::milliseconds(0)),
                                      asio::use_future);
        const auto response = reading.get();
        REQUIRE(isOk(response));
        CHECK(valueOf(response).revision == since + 2);
        while (service.laterCount() < static_cast<int>(since))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    runtime.stop();
}
