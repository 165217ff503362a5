#include "tests/forward/forwarder_fixture.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::forward;
using namespace persimmon::tests;
using std::chrono::milliseconds;

namespace {

const transport::TimePoint Now{std::chrono::seconds(100)};

HttpMessage parse(const std::string &text)
{
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    REQUIRE_FALSE(error);
    return parser.release();
}

} // namespace

// Guards against callers that pretend that their request was passed on.
TEST_CASE("the fields of hosts are ignored and removed in requests of callers")
{
    const auto message = parse("GET /s/ HTTP/1.1\r\nX-Id: i\r\nPersimmon-Age-Ms: 5000\r\n"
                               "persimmon-config: 9\r\n\r\n");
    const auto request = makeForwardRequest(message, makeNames(), Now);
    CHECK_FALSE(request.passedOn);
    CHECK(request.receivedAt == Now);
    CHECK(request.head == "GET /s/ HTTP/1.1\r\nX-Id: i\r\n");
}

// Guards against a deadline or an objective that starts anew on the second host.
TEST_CASE("a request that is passed on keeps its id, bytes, deadline and time of receipt")
{
    const auto received =
            makeForwardRequest(parse("POST /s/x?y=1 HTTP/1.1\r\nHost: h\r\nX-Id: i\r\n"
                                     "X-Left: 700\r\nX-Own: kept\r\nContent-Length: 4\r\n\r\nbody"),
                               makeNames(), Now);
    const auto bytes = received.serializeForPeer(makeNames(), {milliseconds(150), 7});
    const auto passed = makeForwardRequest(parse(bytes), makeNames(), Now, RequestSource::Peer);
    REQUIRE(passed.passedOn);
    CHECK(passed.passedOn->configVersion == 7);
    CHECK(passed.receivedAt == Now - milliseconds(150));
    CHECK(passed.callerTimeout == milliseconds(700));
    CHECK(passed.id == received.id);
    CHECK(passed.head == received.head);
    CHECK(passed.body == received.body);
    CHECK(passed.fingerprint == received.fingerprint);
}

TEST_CASE("a request without a deadline is passed on without one")
{
    const auto received =
            makeForwardRequest(parse("GET / HTTP/1.1\r\nX-Id: i\r\n\r\n"), makeNames(), Now);
    const auto bytes = received.serializeForPeer(makeNames(), {});
    CHECK(bytes
          == "GET / HTTP/1.1\r\nX-Id: i\r\nPersimmon-Age-Ms: 0\r\nPersimmon-Config: 0\r\n\r\n");
}
