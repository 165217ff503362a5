#include "entry/entry.h"

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <thread>

using namespace persimmon;
using namespace persimmon::entry;
using protocol::CallerError;
using protocol::Outcome;

namespace {

constexpr std::uint64_t Incarnation = 0x4fa1;

/// An entry server in this process whose execute callback counts executions.
struct Server
{
    transport::Runtime runtime{2};
    transport::Metrics metrics;
    std::shared_ptr<state::ClusterView> view = std::make_shared<state::ClusterView>();
    std::atomic<int> runs = 0;
    std::function<void()> beforeRun = [] {};
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
        hooks.currentView = [this] { return view; };
        const EntryIdentity identity{"h3", Incarnation, runtime.clock().now()};
        const auto execute =
                [this](protocol::QueryRequest, state::TimePoint,
                       LateAnswerHandler) -> boost::asio::awaitable<protocol::QueryResponse> {
            ++runs;
            beforeRun();
            protocol::QueryResponse answer;
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
        if (server)
            server->close();
        runtime.stop();
    }

    protocol::QueryResponse post(const std::string &body)
    {
        auto fetch = transport::fetchOnce(runtime, endpoint,
                                          transport::HttpRequest("POST", "/v1/query", body),
                                          std::chrono::seconds(5));
        auto response =
                boost::asio::co_spawn(runtime.context(), std::move(fetch), boost::asio::use_future)
                        .get();
        REQUIRE(isOk(response));
        const auto answer = protocol::decodeQueryResponse(valueOf(response).body);
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

// Guards against "not run" for a request that ran, and against refusals without an error type.
TEST_CASE("each refusal of the caller interface has an error type and the outcome not run")
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
    // A delayed duplicate of the refused request, with a valid deadline.
    server.checkRefused(makeBody("fee", R"(,"key":"k","request_id":"h3.4fa1.0:b")"),
                        CallerError::DeadlineOver);
}

// Guards against executing one request id twice, and against "not run" for an id whose home has
// restarted.
TEST_CASE("a non-repeatable request runs at most once and only on its home incarnation")
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

// Guards against use after free: watch coroutines and running requests that access a destroyed
// server. Detected by a sanitizer build.
TEST_CASE("the server may be destroyed while its coroutines run")
{
    Server server;
    server.runtime.spawn(server.server->watch());
    server.runtime.spawn(server.server->watchEntries());
    std::promise<void> running;
    std::promise<void> release;
    auto released = release.get_future().share();
    server.beforeRun = [&] {
        running.set_value();
        released.wait();
    };
    const auto body = makeBody("fee", R"(,"key":"k","request_id":"h3.4fa1.0:a")");
    auto fetch = transport::fetchOnce(server.runtime, server.endpoint,
                                      transport::HttpRequest("POST", "/v1/query", body),
                                      std::chrono::seconds(5));
    auto answered = boost::asio::co_spawn(server.runtime.context(), std::move(fetch),
                                          boost::asio::use_future);
    running.get_future().wait();
    server.server.reset();
    release.set_value();
    // The connection is closed before or after the answer is sent; the request has run either way.
    answered.wait();
    CHECK(server.runs == 1);
    // By now both watch coroutines have made a check after the destruction.
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
}
