#include "entry/entry.h"

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <future>

using namespace persimmon;
using namespace persimmon::entry;
using protocol::CallerError;
using protocol::Outcome;

namespace {

constexpr std::uint64_t Incarnation = 0x4fa1;

/// An entry server in this process whose execute hook counts what runs.
struct Server
{
    transport::Runtime runtime{2};
    transport::Metrics metrics;
    std::shared_ptr<state::ClusterView> view = std::make_shared<state::ClusterView>();
    std::atomic<int> runs = 0;
    std::unique_ptr<EntryServer> server;
    transport::Endpoint endpoint;

    Server()
    {
        protocol::Profile fee;
        fee.group = "g";
        fee.scope = protocol::Scope::Key;
        fee.repeatable = false;
        view->profiles = {{"fee", fee}, {"sheet", protocol::Profile{}}};
        EntryHooks hooks;
        hooks.view = [this] { return view; };
        const EntryIdentity identity{"h3", Incarnation, runtime.clock().now()};
        const auto execute = [this](protocol::QueryRequest, state::TimePoint,
                                    LateHandler) -> boost::asio::awaitable<protocol::QueryAnswer> {
            ++runs;
            protocol::QueryAnswer answer;
            answer.outcome = Outcome::Done;
            answer.items = "[]";
            co_return answer;
        };
        server = std::make_unique<EntryServer>(runtime, metrics, hooks, execute,
                                               EntryServerOptions{identity});
        endpoint = valueOf(server->listen(valueOf(transport::parseEndpoint("127.0.0.1:0"))));
        runtime.start();
    }

    ~Server()
    {
        server->close();
        runtime.stop();
    }

    protocol::QueryAnswer post(const std::string &body)
    {
        auto fetch = transport::fetchOnce(runtime, endpoint,
                                          transport::HttpRequest("POST", "/v1/query", body),
                                          std::chrono::seconds(5));
        auto response =
                boost::asio::co_spawn(runtime.context(), std::move(fetch), boost::asio::use_future)
                        .get();
        REQUIRE(isOk(response));
        const auto answer = protocol::decodeQueryAnswer(valueOf(response).body);
        REQUIRE(isOk(answer));
        CHECK(valueOf(response).status == protocol::httpStatus(valueOf(answer)));
        return valueOf(answer);
    }

    void checkRefused(const std::string &body, CallerError error)
    {
        const auto answer = post(body);
        CHECK(answer.outcome == Outcome::NotRun);
        CHECK(answer.error == error);
        CHECK(runs == 0);
    }
};

std::string makeBody(const std::string &profile, const std::string &more)
{
    return R"({"profile":")" + profile + R"(","caller":"c","query":{})" + more + "}";
}

} // namespace

// Guards against a refusal that says "not run" for something that ran, and against untyped ones.
TEST_CASE("each refusal of the caller interface is typed and says not run")
{
    Server server;
    server.checkRefused("{", CallerError::MalformedBody);
    server.checkRefused(std::string(protocol::CallerBodyLimit + 1, 'x'), CallerError::BodyTooLarge);
    server.checkRefused(makeBody("none", ""), CallerError::UnknownProfile);
    server.checkRefused(makeBody("fee", ""), CallerError::RequestIdRequired);
    server.checkRefused(makeBody("fee", R"(,"key":"k","request_id":"foreign")"),
                        CallerError::RequestIdInvalid);
    server.checkRefused(makeBody("fee", R"(,"key":"k","request_id":"h3.4fa1.7:a")"),
                        CallerError::RequestIdInvalid);
    server.checkRefused(makeBody("fee", R"(,"request_id":"h3.4fa1.0:a")"),
                        CallerError::MalformedBody);
    server.checkRefused(makeBody("sheet", R"(,"deadline_ms":0)"), CallerError::DeadlineOver);
    server.checkRefused(makeBody("fee", R"(,"key":"k","request_id":"h3.4fa1.0:b","deadline_ms":0)"),
                        CallerError::DeadlineOver);
    // A delayed duplicate of the refused request, this time with time left.
    server.checkRefused(makeBody("fee", R"(,"key":"k","request_id":"h3.4fa1.0:b")"),
                        CallerError::DeadlineOver);
}

// Guards against a second run of one id, and against "not run" for an id of a home that restarted.
TEST_CASE("a non-repeatable request runs once and only on its home incarnation")
{
    Server server;
    const auto body = makeBody("fee", R"(,"key":"k","request_id":"h3.4fa1.0:a")");
    CHECK(server.post(body).outcome == Outcome::Done);
    CHECK(server.post(body).outcome == Outcome::Done);
    CHECK(server.runs == 1);
    const auto restarted = makeBody("fee", R"(,"key":"k","request_id":"h3.4fa2.0:a")");
    CHECK(server.post(restarted).error == CallerError::HomeLost);
    const auto elsewhere = makeBody("fee", R"(,"key":"k","request_id":"h4.1.0:a")");
    CHECK(server.post(elsewhere).outcome == Outcome::Unknown);
    CHECK(server.runs == 1);
}
