#include "ctl/ctl.h"
#include "protocol/protocol.h"
#include "transport/rpc_service.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::ctl;
using namespace std::chrono_literals;

namespace {

constexpr auto Timeout = 2s;

/// A server that gives one response to every request.
class FixedServer
{
public:
    explicit FixedServer(transport::HttpHandler handler) : server_(runtime_, std::move(handler))
    {
        const auto bound = server_.listen(valueOf(transport::parseEndpoint("127.0.0.1:0")));
        REQUIRE(isOk(bound));
        endpoint = valueOf(bound);
        runtime_.start();
    }
    ~FixedServer()
    {
        server_.close();
        runtime_.stop();
    }

    transport::Endpoint endpoint;

private:
    transport::Runtime runtime_{1};
    transport::HttpServer server_;
};

transport::HttpHandler respond(int status, std::string body)
{
    return [=](transport::HttpRequest) -> boost::asio::awaitable<transport::HttpResponse> {
        co_return transport::HttpResponse{status, body};
    };
}

} // namespace

// Guards against scripts that take a refusal, a broken answer or silence for success.
TEST_CASE("only a done answer ends with success")
{
    const protocol::QueryRequest request{"p", "c", "{}", {}, {}, {}, {}};
    protocol::QueryAnswer done;
    done.outcome = protocol::Outcome::Done;
    const auto refusal =
            encodeQueryAnswer(protocol::makeRefusal(protocol::CallerError::Overloaded, "busy"));
    {
        const FixedServer server(respond(200, encodeQueryAnswer(done)));
        CHECK(runQuery(server.endpoint, request, Timeout, true).status == ExitStatus::Success);
        CHECK(locate(server.endpoint, "c", "p", Timeout, true).status == ExitStatus::Failed);
    }
    {
        const FixedServer server(respond(503, refusal));
        const auto result = runQuery(server.endpoint, request, Timeout, false);
        CHECK(result.status == ExitStatus::Failed);
        CHECK(result.output.find("error: overloaded") != std::string::npos);
        CHECK(locate(server.endpoint, "c", "p", Timeout, false).status == ExitStatus::Failed);
    }
    const auto closed = valueOf(transport::parseEndpoint("127.0.0.1:1"));
    const auto silent = runQuery(closed, request, Timeout, true);
    CHECK(silent.status == ExitStatus::Failed);
    CHECK(silent.error.find("nothing ran") != std::string::npos);
}

// Guards against a locate request whose caller is not escaped in the query string.
TEST_CASE("locate sends caller and profile escaped")
{
    const FixedServer server(
            [](transport::HttpRequest request) -> boost::asio::awaitable<transport::HttpResponse> {
                protocol::LocateAnswer answer{request.target, 10s, "h.1.2"};
                co_return transport::HttpResponse{200, encodeLocateAnswer(answer)};
            });
    const auto result = locate(server.endpoint, "a b&c", "p", Timeout, true);
    CHECK(result.status == ExitStatus::Success);
    CHECK(result.output.find("caller=a%20b%26c&profile=p") != std::string::npos);
}

// Guards against an admin error that is printed as a result.
TEST_CASE("admin methods report results and errors")
{
    auto service = std::make_shared<transport::RpcService>();
    service->add("status", [](const Json::Value &) {
        Json::Value result;
        result["ready"] = true;
        return result;
    });
    const FixedServer server([service](transport::HttpRequest request)
                                     -> boost::asio::awaitable<transport::HttpResponse> {
        co_return service->handle(request.body);
    });
    const auto status = callAdmin(server.endpoint, "status", Timeout, false);
    CHECK(status.status == ExitStatus::Success);
    CHECK(status.output == "ready: true\n");
    CHECK(callAdmin(server.endpoint, "owners", Timeout, false).status == ExitStatus::Failed);
}
