#include "ctl/ctl.h"
#include "protocol/protocol.h"
#include "transport/rpc_service.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::ctl;
using namespace std::chrono_literals;

namespace {

constexpr auto Timeout = 2s;

/// HTTP server that calls a handler for every request.
class StubServer
{
public:
    explicit StubServer(transport::HttpHandler handler) : server_(runtime_, std::move(handler))
    {
        const auto bound = server_.listen(valueOf(transport::parseEndpoint("127.0.0.1:0")));
        REQUIRE(isOk(bound));
        endpoint = valueOf(bound);
        runtime_.start();
    }
    ~StubServer()
    {
        server_.close();
        runtime_.stop();
    }

    transport::Endpoint endpoint;

private:
    transport::Runtime runtime_{1};
    transport::HttpServer server_;
};

/// @return a handler that sends the same response to every request.
transport::HttpHandler respondWith(int status, std::string body)
{
    return [=](transport::HttpRequest) -> boost::asio::awaitable<transport::HttpResponse> {
        co_return transport::HttpResponse{status, body};
    };
}

} // namespace

// Guards against an exit status of success for a refusal, an invalid answer or a failed connection,
// which scripts would treat as a finished query.
TEST_CASE("only the outcome done exits with success")
{
    const protocol::QueryRequest request{"p", "c", "{}", {}, {}, {}, {}};
    protocol::QueryResponse done;
    done.outcome = protocol::Outcome::Done;
    const auto refusal = encodeQueryResponse(
            protocol::makeErrorResponse(protocol::CallerError::Overloaded, "busy"));
    {
        const StubServer server(respondWith(200, encodeQueryResponse(done)));
        CHECK(runQuery(server.endpoint, request, Timeout, true).status == ExitStatus::Success);
        CHECK(locate(server.endpoint, "c", "p", Timeout, true).status == ExitStatus::Failed);
    }
    {
        const StubServer server(respondWith(503, refusal));
        const auto result = runQuery(server.endpoint, request, Timeout, false);
        CHECK(result.status == ExitStatus::Failed);
        CHECK(result.output.find("error: overloaded") != std::string::npos);
        CHECK(locate(server.endpoint, "c", "p", Timeout, false).status == ExitStatus::Failed);
    }
    const auto unreachable = valueOf(transport::parseEndpoint("127.0.0.1:1"));
    const auto failed = runQuery(unreachable, request, Timeout, true);
    CHECK(failed.status == ExitStatus::Failed);
    CHECK(failed.error.find("the query did not run") != std::string::npos);
}

// Guards against special characters in a caller name that change the query string.
TEST_CASE("locate percent-encodes caller and profile")
{
    const StubServer server(
            [](transport::HttpRequest request) -> boost::asio::awaitable<transport::HttpResponse> {
                protocol::LocateResponse answer{request.target, 10s, "h.1.2"};
                co_return transport::HttpResponse{200, encodeLocateResponse(answer)};
            });
    const auto result = locate(server.endpoint, "a b&c", "p", Timeout, true);
    CHECK(result.status == ExitStatus::Success);
    CHECK(result.output.find("caller=a%20b%26c&profile=p") != std::string::npos);
}

// Guards against a JSON-RPC error that is printed as a result with an exit status of success.
TEST_CASE("admin calls return the result or fail")
{
    auto service = std::make_shared<transport::RpcService>();
    service->add("status", [](const Json::Value &) {
        Json::Value result;
        result["ready"] = true;
        return result;
    });
    const StubServer server([service](transport::HttpRequest request)
                                    -> boost::asio::awaitable<transport::HttpResponse> {
        co_return service->handle(request.body);
    });
    const auto status = callAdmin(server.endpoint, "status", Timeout, false);
    CHECK(status.status == ExitStatus::Success);
    CHECK(status.output == "ready: true\n");
    CHECK(callAdmin(server.endpoint, "owners", Timeout, false).status == ExitStatus::Failed);
}
