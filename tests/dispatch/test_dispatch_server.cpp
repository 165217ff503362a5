#include "dispatch/dispatch.h"
#include "tests/support/raw_http.h"

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <thread>

namespace asio = boost::asio;
using namespace persimmon;
using namespace std::chrono_literals;
using protocol::SubError;
using protocol::SubOutcome;

namespace {

constexpr auto ResultTimeout = 5s;
const transport::Endpoint AnyLoopback(asio::ip::make_address("127.0.0.1"), 0);

/// Upstream whose replies come from a callback; counts executions and cancellations.
class FakeUpstream
{
public:
    using Answer =
            std::function<asio::awaitable<transport::HttpResponse>(protocol::ExecuteRequest)>;

    FakeUpstream(transport::Runtime &runtime, Answer answer)
        : answer_(std::move(answer)),
          server_(runtime, [this](transport::HttpRequest request) { return handle(request); })
    {
        address = transport::formatEndpoint(valueOf(server_.listen(AnyLoopback)));
    }

    std::string address;
    std::atomic<int> executions = 0;
    std::atomic<int> cancellations = 0;

private:
    asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request)
    {
        if (request.target == "/v1/cancel") {
            ++cancellations;
            co_return transport::HttpResponse{204, {}};
        }
        ++executions;
        auto decoded = protocol::decodeExecuteRequest(request.body);
        co_return co_await answer_(takeValue(decoded));
    }

    Answer answer_;
    transport::HttpServer server_;
};

transport::HttpResponse respond(const protocol::ExecuteResponse &reply)
{
    return {protocol::executeStatus(reply), protocol::encodeExecuteResponse(reply)};
}

std::string toMessage(const transport::HttpResponse &response)
{
    return tests::makeResponse(response.body, "", "", response.status);
}

transport::HttpResponse answerTo(const protocol::ExecuteRequest &request)
{
    return respond(protocol::ExecuteSuccess{request.requestId, request.attempt, request.shard,
                                            request.snapshot, "i1", R"(["item"])"});
}

/// A dispatcher with one service on the given upstreams, and a connection from an entry to it.
class Fixture
{
public:
    void start(const std::vector<std::string> &addresses)
    {
        view_->groups["g"] = {2, 10, 0ms, 2};
        view_->entryHosts["h1"] = {"h1", protocol::HostKind::Entry, "127.0.0.1", "d", ""};
        for (const auto &address : addresses) {
            const auto name = "u" + std::to_string(view_->upstreams["g-01"].size());
            view_->upstreams["g-01"].push_back(
                    {name, protocol::HostKind::Upstream, address, "d", "g-01"});
        }
        hooks.currentView = [this] { return view_; };
        hooks.reportQuarantine = [this](std::uint64_t, std::chrono::milliseconds) {
            ++quarantined;
        };
        server.emplace(runtime, metrics, dispatch::DispatchOptions{"h1", 7}, hooks);
        const auto endpoint = valueOf(server->listen(AnyLoopback));
        runtime.start();
        auto connecting = asio::co_spawn(runtime.context(),
                                         transport::connectFrames(runtime, endpoint, 1s, {}),
                                         asio::use_future);
        auto connected = connecting.get();
        connection_ = takeValue(connected);
        connection_->start([this](const std::string &frame) { onFrame(frame); },
                           [](const auto &) {});
        connection_->send(protocol::encodeFrame(protocol::Hello{}));
    }

    ~Fixture() { runtime.stop(); }

    protocol::Batch makeBatch(std::vector<std::string> shards)
    {
        protocol::Batch batch;
        batch.batchId = ++lastBatchId_;
        batch.requestId = "r" + std::to_string(batch.batchId);
        batch.group = "g";
        batch.snapshot = 12;
        batch.timeLeft = 1s;
        batch.query = "{}";
        for (auto &shard : shards)
            batch.subRequests.push_back({std::move(shard), "g-01"});
        return batch;
    }

    /// Sends a batch and waits for the results of all of its sub-requests.
    std::vector<protocol::SubResult> execute(const protocol::Batch &batch)
    {
        connection_->send(protocol::encodeFrame(batch));
        std::unique_lock lock(mutex_);
        resultArrived_.wait_for(lock, ResultTimeout,
                                [&] { return results_.size() >= batch.subRequests.size(); });
        REQUIRE(results_.size() == batch.subRequests.size());
        return std::exchange(results_, {});
    }

    transport::Runtime runtime{2};
    transport::Metrics metrics;
    dispatch::DispatchHooks hooks;
    std::optional<dispatch::DispatchServer> server;
    std::atomic<int> quarantined = 0;

private:
    void onFrame(const std::string &payload)
    {
        auto message = protocol::decodeFrame(payload);
        if (const auto *result = std::get_if<protocol::SubResult>(&valueOf(message))) {
            const std::lock_guard lock(mutex_);
            results_.push_back(*result);
            resultArrived_.notify_all();
        }
    }

    std::shared_ptr<state::ClusterView> view_ = std::make_shared<state::ClusterView>();
    std::shared_ptr<transport::FrameConnection> connection_;
    std::uint64_t lastBatchId_ = 0;
    std::mutex mutex_;
    std::condition_variable resultArrived_;
    std::vector<protocol::SubResult> results_;
};

} // namespace

TEST_CASE("every shard of a batch gets one result, and batches are refused during shutdown")
{
    // Guards against lost or mixed-up results, and against work that is accepted while draining.
    Fixture fixture;
    FakeUpstream upstream(fixture.runtime,
                          [](auto request) -> asio::awaitable<transport::HttpResponse> {
                              co_return answerTo(request);
                          });
    fixture.start({upstream.address});
    std::set<std::string> shards;
    for (const auto &result : fixture.execute(fixture.makeBatch({"s1", "s2", "s3", "s4", "s5"}))) {
        CHECK(result.outcome == SubOutcome::Done);
        CHECK(result.items == R"(["item"])");
        CHECK(result.snapshot == 12);
        shards.insert(result.shard);
    }
    CHECK(shards.size() == 5);
    CHECK(fixture.server->ramps()["g-01"]["u0"]["limit"].asInt() == 2);
    CHECK(fixture.server->services()["g-01"]["first"].asBool());
    asio::co_spawn(fixture.runtime.context(), fixture.server->drain(), asio::use_future).get();
    const auto refused = fixture.execute(fixture.makeBatch({"s1"}));
    CHECK(refused.front().error == SubError::ShuttingDown);
    CHECK(refused.front().outcome == SubOutcome::NotRun);
    CHECK(upstream.executions == 5);
}

TEST_CASE("a hedge answers for a slow upstream, whose attempt is cancelled")
{
    // Guards against a query that waits for one slow upstream until its deadline.
    Fixture fixture;
    FakeUpstream slow(fixture.runtime,
                      [&](auto request) -> asio::awaitable<transport::HttpResponse> {
                          co_await fixture.runtime.clock().sleep(600ms);
                          co_return answerTo(request);
                      });
    FakeUpstream fast(fixture.runtime,
                      [](auto request) -> asio::awaitable<transport::HttpResponse> {
                          co_return answerTo(request);
                      });
    fixture.start({slow.address, fast.address});
    const auto result = fixture.execute(fixture.makeBatch({"s1"})).front();
    CHECK(result.outcome == SubOutcome::Done);
    CHECK(result.upstream == "u1");
    CHECK(result.executions == 2);
    for (int i = 0; i < 100 && slow.cancellations == 0; ++i)
        std::this_thread::sleep_for(5ms);
    CHECK(slow.cancellations == 1);
}

TEST_CASE("an answer to another request is dropped and a non-repeatable request is not retried")
{
    // Guards against answers delivered to the wrong request and against a payment executed twice.
    Fixture fixture;
    FakeUpstream upstream(fixture.runtime,
                          [](auto request) -> asio::awaitable<transport::HttpResponse> {
                              request.shard = "other";
                              co_return answerTo(request);
                          });
    fixture.start({upstream.address});
    auto batch = fixture.makeBatch({"s1"});
    batch.repeatable = false;
    const auto result = fixture.execute(batch).front();
    CHECK(result.outcome == SubOutcome::Unknown);
    CHECK(result.error == SubError::ConnectionLost);
    CHECK(upstream.executions == 1);
    CHECK(fixture.metrics.counter("persimmon_dispatch_mismatched_answers_total", "").value() == 1);
}

TEST_CASE("a non-repeatable sub-request is retried on the next upstream after a refusal")
{
    // Guards against payments that are refused because one upstream is draining.
    Fixture fixture;
    FakeUpstream draining(fixture.runtime, [](auto) -> asio::awaitable<transport::HttpResponse> {
        co_return respond(protocol::ExecuteRefusal{protocol::UpstreamRefusal::Draining, "i1", {}});
    });
    FakeUpstream live(fixture.runtime,
                      [](auto request) -> asio::awaitable<transport::HttpResponse> {
                          co_return answerTo(request);
                      });
    fixture.start({draining.address, live.address});
    auto batch = fixture.makeBatch({"s1"});
    batch.repeatable = false;
    CHECK(fixture.execute(batch).front().outcome == SubOutcome::Done);
    CHECK(live.executions == 1);
}

// Guards against a payment that runs twice: a late copy of the refusal of an earlier attempt
// counted as the refusal of the next one.
TEST_CASE("a late copy of a refusal is never taken for the response to the next attempt")
{
    for (const bool echoesIds : {true, false}) {
        CAPTURE(echoesIds);
        Fixture fixture;
        const tests::RawUpstream *self = nullptr;
        std::atomic<int> calls = 0;
        std::string refusal;
        const tests::RawUpstream upstream([&](const std::string &message) {
            const auto request = valueOf(protocol::decodeExecuteRequest(tests::bodyOf(message)));
            if (++calls == 1) {
                protocol::ExecuteRefusal shed{protocol::UpstreamRefusal::Shed, "i1", {}};
                if (echoesIds) {
                    shed.requestId = request.requestId;
                    shed.attempt = request.attempt;
                }
                refusal = toMessage(respond(shed));
                return tests::RawResponse{refusal};
            }
            const auto late = self->connectionCount() == 1 ? refusal : "";
            return tests::RawResponse{late + toMessage(answerTo(request))};
        });
        self = &upstream;
        fixture.start({upstream.address()});
        auto batch = fixture.makeBatch({"s1"});
        batch.repeatable = false;
        const auto result = fixture.execute(batch).front();
        CHECK(result.outcome == (echoesIds ? SubOutcome::Unknown : SubOutcome::Done));
        CHECK(upstream.requests().size() == 2);
    }
}

// Guards against a result that is completed by the bytes of the next response on the connection.
TEST_CASE("an upstream's response that breaks off anywhere takes nothing from the one behind it")
{
    std::size_t length = 1;
    std::size_t size = 2;
    while (length < size) {
        CAPTURE(length);
        Fixture fixture;
        const tests::RawUpstream upstream([&](const std::string &message) {
            const auto request = valueOf(protocol::decodeExecuteRequest(tests::bodyOf(message)));
            const auto own = toMessage(answerTo(request));
            size = own.size();
            return tests::RawResponse{own.substr(0, length) + own};
        });
        fixture.start({upstream.address()});
        auto batch = fixture.makeBatch({"s1"});
        batch.repeatable = false;
        const auto result = fixture.execute(batch).front();
        const bool isOwn = result.outcome == SubOutcome::Done && result.items == R"(["item"])";
        CHECK((isOwn || result.outcome == SubOutcome::Unknown));
        ++length;
    }
}

TEST_CASE("new work is refused until the view is confirmed after a pause")
{
    // Guards against executing work by the outdated shard ownership of a process that was paused.
    Fixture fixture;
    FakeUpstream upstream(fixture.runtime,
                          [](auto request) -> asio::awaitable<transport::HttpResponse> {
                              co_return answerTo(request);
                          });
    fixture.hooks.needsRevalidation = [] { return true; };
    fixture.hooks.revalidate = [](transport::Duration) -> asio::awaitable<bool> {
        co_return false;
    };
    fixture.start({upstream.address});
    CHECK(fixture.execute(fixture.makeBatch({"s1"})).front().error == SubError::StaleView);
    CHECK(upstream.executions == 0);
}
