#include "forward/forward.h"
#include "tests/support/raw_http.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <future>

using namespace persimmon;
using namespace persimmon::tests;
using std::chrono::milliseconds;

namespace {

forward::HeaderNames makeNames()
{
    forward::HeaderNames names;
    names.requestId = "X-Id";
    names.timeLeft = "X-Left";
    names.signature = "X-Sign";
    names.expectedInstance = "X-Instance";
    names.notExecuted = "X-Not-Run";
    names.partSignatures = "X-Parts";
    names.missingParts = "X-Missing";
    return names;
}

/// A host that forwards to raw upstreams: service "s" on the first two, shards "p0" and "p1" on
/// all.
class Fixture
{
public:
    Fixture()
    {
        config.version = 1;
        state::Route single;
        single.name = "single";
        single.host = "h";
        single.prefix = "/s/";
        single.timeout = milliseconds(1500);
        single.goal = milliseconds(300);
        single.upstreamLimit = 2;
        single.targets = {{"s", 1}};
        auto once = single;
        once.name = "once";
        once.prefix = "/once/";
        once.idempotent = false;
        auto gather = single;
        gather.name = "gather";
        gather.prefix = "/g/";
        gather.targets.clear();
        gather.gather.shards = {"p0", "p1"};
        gather.gather.topRecords = 2;
        gather.gather.leastFraction = 0.5;
        config.routes = {single, once, gather};
    }

    ~Fixture() { runtime.stop(); }

    void addUpstream(const std::string &service, const std::string &id, const RawUpstream &upstream)
    {
        state::UpstreamRecord record;
        record.id = id;
        record.service = service;
        record.address = upstream.address();
        record.failureDomain = "d";
        record.slots = 4;
        registry.update(record, {});
    }

    void start()
    {
        services.setServices(config.services);
        forwarder.setRoutes(std::make_shared<const state::RouteTable>(config));
        listen();
    }

    void listen()
    {
        const auto bound = front.listen(valueOf(transport::parseEndpoint("127.0.0.1:0")));
        port = valueOf(bound).port();
        runtime.start();
    }

    std::string call(const std::string &target, const std::string &method = "GET",
                     const std::string &body = "", const std::string &fields = "")
    {
        RawCaller caller(port);
        caller.send(request(target, method, body, fields));
        return caller.receive();
    }

    static std::string request(const std::string &target, const std::string &method = "GET",
                               const std::string &body = "", const std::string &fields = "")
    {
        return method + " " + target + " HTTP/1.1\r\nHost: h\r\nX-Id: i1\r\nX-Left: 1000\r\n"
               + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    transport::Runtime runtime{1};
    transport::Metrics metrics;
    dispatch::DispatchMetrics dispatchMetrics{metrics};
    dispatch::ExecutorContext context{runtime, dispatchMetrics, [](std::uint64_t) {}};
    state::UpstreamRegistry registry{{{"d", "r"}}};
    forward::ForwardPool pool{runtime, metrics, makeNames()};
    forward::ServiceSet services{context, registry, {50, 1, 0}};
    forward::RequestForwarder forwarder{
            runtime, metrics, pool, services, {makeNames(), 0.2, milliseconds(20)}};
    forward::FrontServer front{runtime, makeNames(), [this](auto request, auto watch) {
                                   return forwarder.serve(std::move(request), std::move(watch));
                               }};
    state::RoutingConfig config;
    int port = 0;
};

RawUpstream::Handler always(const std::string &bytes, bool close = false)
{
    return [bytes, close](const std::string &) { return RawAnswer{bytes, close}; };
}

std::string record(char fill)
{
    return std::string(state::RecordBytes, fill);
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a request and its answer pass unchanged")
{
    // Guards against changed paths and bodies, fields of one connection that are passed on, and
    // time that grows on the way.
    const RawUpstream upstream(always(makeAnswer("body", "sig",
                                                 "X-Own: kept\r\n"
                                                 "Connection: X-Hop\r\n"
                                                 "X-Hop: 1\r\n")));
    addUpstream("s", "u1", upstream);
    start();
    const auto answer = call("/s/a%20b?c=d&e", "POST", "payload",
                             "X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                             "X-Instance: forged\r\n");
    CHECK(statusOf(answer) == 200);
    CHECK(bodyOf(answer) == "body");
    CHECK(fieldOf(answer, "X-Sign") == "sig");
    CHECK(fieldOf(answer, "X-Own") == "kept");
    CHECK(fieldOf(answer, "X-Hop").empty());
    REQUIRE(upstream.requests().size() == 1);
    const auto arrived = upstream.requests().front();
    CHECK(arrived.starts_with("POST /s/a%20b?c=d&e HTTP/1.1\r\n"));
    CHECK(bodyOf(arrived) == "payload");
    CHECK(fieldOf(arrived, "X-Id") == "i1");
    CHECK(fieldOf(arrived, "X-Own") == "kept");
    CHECK(fieldOf(arrived, "X-Hop").empty());
    CHECK(fieldOf(arrived, "X-Instance") == "u1");
    CHECK(std::stoi(fieldOf(arrived, "X-Left")) <= 1000);
}

TEST_CASE_FIXTURE(Fixture, "a chunked body arrives whole and a kept connection serves again")
{
    const RawUpstream upstream(always(makeAnswer("body", "sig")));
    addUpstream("s", "u1", upstream);
    start();
    RawCaller caller(port);
    caller.send("POST /s/ HTTP/1.1\r\nHost: h\r\nX-Id: i1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(statusOf(caller.receive()) == 200);
    caller.send(request("/s/") + request("/s/second"));
    CHECK(statusOf(caller.receive()) == 200);
    REQUIRE(upstream.requests().size() >= 2);
    CHECK(bodyOf(upstream.requests().front()) == "abcde");
}

TEST_CASE_FIXTURE(Fixture, "bytes that are no whole answer never reach a caller as a success")
{
    // Guards against truncated, unsigned, encoded, foreign and unreadable answers.
    std::string bytes;
    const RawUpstream upstream([&bytes](const std::string &) { return RawAnswer{bytes, true}; });
    addUpstream("s", "u1", upstream);
    start();
    const auto whole = makeAnswer("body", "sig");
    for (const auto &bad : std::vector<std::string>{
                 whole.substr(0, whole.size() - 1), makeAnswer("body", ""),
                 "no HTTP at all\r\n\r\n", makeAnswer("body", "sig", "Content-Encoding: gzip\r\n"),
                 makeAnswer("body", "sig", "X-Id: another\r\n"), ""}) {
        bytes = bad;
        CAPTURE(bad);
        const auto status = statusOf(call("/s/"));
        CHECK(status >= 500);
        CHECK(status != 503);
    }
}

TEST_CASE_FIXTURE(Fixture, "bytes behind a whole answer belong to no request")
{
    // Guards against a second answer on a connection that the next request takes for its own.
    int count = 0;
    const RawUpstream upstream([&count](const std::string &) {
        const auto body = "body" + std::to_string(++count);
        return RawAnswer{makeAnswer(body, "sig") + makeAnswer("stray", "sig"), false};
    });
    addUpstream("s", "u1", upstream);
    start();
    for (int i = 1; i <= 5; ++i)
        CHECK(bodyOf(call("/s/")) == "body" + std::to_string(i));
}

TEST_CASE_FIXTURE(Fixture,
                  "an answer without a length is whole only if its connection ends in order")
{
    const RawUpstream upstream(
            always("HTTP/1.1 200 OK\r\nX-Sign: sig\r\nConnection: close\r\n\r\nunframed", true));
    addUpstream("s", "u1", upstream);
    start();
    const auto answer = call("/s/");
    CHECK(statusOf(answer) == 200);
    CHECK(bodyOf(answer) == "unframed");
    CHECK(fieldOf(answer, "Content-Length") == "8");
}

TEST_CASE_FIXTURE(Fixture, "a lost answer is fetched elsewhere if the request may run twice")
{
    const RawUpstream losing(always("", true));
    const RawUpstream good(always(makeAnswer("body", "sig")));
    addUpstream("s", "u1", losing);
    addUpstream("s", "u2", good);
    start();
    for (int i = 0; i < 4; ++i)
        CHECK(bodyOf(call("/s/")) == "body");
}

TEST_CASE_FIXTURE(Fixture, "a request that must not run twice is sent again only if it did not run")
{
    // Guards against a payment that runs twice, and against a refusal of one that ran.
    std::string bytes;
    const auto handler = [&bytes](const std::string &) { return RawAnswer{bytes, bytes.empty()}; };
    const RawUpstream first(handler);
    const RawUpstream second(handler);
    addUpstream("s", "u1", first);
    addUpstream("s", "u2", second);
    start();
    const auto arrivals = [&] { return first.requests().size() + second.requests().size(); };
    CHECK(statusOf(call("/once/", "POST", "pay")) == 502);
    CHECK(arrivals() == 1);
    bytes = makeAnswer("", "sig", "", 500);
    CHECK(statusOf(call("/once/", "POST", "pay")) == 500);
    CHECK(arrivals() == 2);
    bytes = makeAnswer("", "", "X-Not-Run: 1\r\n", 503);
    const auto refused = call("/once/", "POST", "pay");
    CHECK(statusOf(refused) == 503);
    CHECK_FALSE(fieldOf(refused, "Retry-After").empty());
    CHECK(arrivals() > 3);
}

TEST_CASE_FIXTURE(Fixture, "an upstream that is another than expected counts as not reached")
{
    const RawUpstream replaced(always(makeAnswer("", "", "", 421)));
    const RawUpstream good(always(makeAnswer("body", "sig")));
    addUpstream("s", "u1", replaced);
    addUpstream("s", "u2", good);
    start();
    for (int i = 0; i < 4; ++i)
        CHECK(bodyOf(call("/once/", "POST", "pay")) == "body");
    CHECK(replaced.requests().size() <= 2);
}

TEST_CASE_FIXTURE(Fixture, "parts are merged, and a failure is no part")
{
    // Guards against a merge that counts a failing upstream's signed answer.
    const RawUpstream p0(always(makeAnswer(record('a') + record('c') + "rest", "sig0")));
    std::string bytes = makeAnswer(record('b'), "sig1");
    const RawUpstream p1([&bytes](const std::string &) { return RawAnswer{bytes, false}; });
    addUpstream("p0", "u0", p0);
    addUpstream("p1", "u1", p1);
    start();
    auto answer = call("/g/q");
    CHECK(statusOf(answer) == 200);
    CHECK(bodyOf(answer) == record('c') + record('b'));
    CHECK(fieldOf(answer, "X-Parts") == "sig0, sig1");
    CHECK(fieldOf(answer, "X-Missing") == "0");
    CHECK(p0.requests().size() == 1);
    bytes = makeAnswer(record('z'), "sig1", "", 500);
    answer = call("/g/q");
    CHECK(bodyOf(answer) == record('c') + record('a'));
    CHECK(fieldOf(answer, "X-Parts") == "sig0");
    CHECK(fieldOf(answer, "X-Missing") == "1");
}

TEST_CASE_FIXTURE(Fixture, "a request whose least share has no upstreams is refused at once")
{
    config.routes[2].gather.leastFraction = 1;
    const RawUpstream p0(always(makeAnswer(record('a'), "sig0")));
    addUpstream("p0", "u0", p0);
    start();
    const auto answer = call("/g/q");
    CHECK(statusOf(answer) == 503);
    CHECK_FALSE(fieldOf(answer, "Retry-After").empty());
    // Guards against a refusal that says nothing ran although a shard has the request.
    CHECK(p0.requests().empty());
}

TEST_CASE_FIXTURE(Fixture, "work ends soon after its caller has left")
{
    const RawUpstream slow([](const std::string &) {
        return RawAnswer{makeAnswer("body", "sig"), false, milliseconds(5000)};
    });
    addUpstream("s", "u1", slow);
    start();
    RawCaller caller(port);
    caller.send(request("/s/"));
    while (slow.requests().empty())
        std::this_thread::sleep_for(milliseconds(5));
    caller.close();
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(slow.abandoned() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a caller has its final answer when the route's time is over")
{
    config.routes[0].timeout = milliseconds(200);
    const RawUpstream slow([](const std::string &) {
        return RawAnswer{makeAnswer("body", "sig"), false, milliseconds(5000)};
    });
    addUpstream("s", "u1", slow);
    start();
    const auto begin = std::chrono::steady_clock::now();
    CHECK(statusOf(call("/s/")) == 504);
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds(700));
}

TEST_CASE_FIXTURE(Fixture, "requests without a route or a configuration are told so")
{
    listen();
    const auto early = call("/s/");
    CHECK(statusOf(early) == 503);
    CHECK_FALSE(fieldOf(early, "Retry-After").empty());
    std::promise<void> done;
    boost::asio::post(runtime.context(), [&] {
        forwarder.setRoutes(std::make_shared<const state::RouteTable>(config));
        done.set_value();
    });
    done.get_future().wait();
    CHECK(statusOf(call("/unknown/")) == 404);
    CHECK(statusOf(call("/s/", "GET", "", "X-Long: " + std::string(20'000, 'x') + "\r\n")) == 431);
}

TEST_CASE_FIXTURE(Fixture, "a drain answers what still arrives and then ends")
{
    // Guards against requests that are cut by a planned stop.
    const RawUpstream upstream([](const std::string &) {
        return RawAnswer{makeAnswer("body", "sig"), false, milliseconds(100)};
    });
    addUpstream("s", "u1", upstream);
    start();
    RawCaller kept(port);
    kept.send(request("/s/"));
    CHECK(statusOf(kept.receive()) == 200);
    std::promise<void> drained;
    runtime.spawn([](Fixture &self, std::promise<void> &ended) -> boost::asio::awaitable<void> {
        co_await self.front.drain(milliseconds(400), milliseconds(1500));
        ended.set_value();
    }(*this, drained));
    std::this_thread::sleep_for(milliseconds(50));
    kept.send(request("/s/"));
    const auto last = kept.receive();
    CHECK(statusOf(last) == 200);
    CHECK(fieldOf(last, "Connection") == "close");
    // Callers that have not yet learned of the stop open connections.
    RawCaller late(port);
    std::this_thread::sleep_for(milliseconds(50));
    late.send(request("/s/"));
    CHECK(statusOf(late.receive()) == 200);
    CHECK(drained.get_future().wait_for(milliseconds(1500)) == std::future_status::ready);
}
