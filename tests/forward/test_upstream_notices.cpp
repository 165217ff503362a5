#include "tests/forward/forwarder_fixture.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::tests;
using std::chrono::milliseconds;

namespace {

using Fixture = ForwarderFixture;

std::string answerWith(const std::string &fields, int status = 200)
{
    return makeResponse("body", "sig", fields, status);
}

} // namespace

// Guards against a limit of zero, without end or of nonsense that takes an upstream out of service.
TEST_CASE_FIXTURE(Fixture, "invalid limits of an upstream are ignored and counted")
{
    std::string fields;
    const RawUpstream upstream([&fields](const std::string &) {
        return RawResponse{answerWith(fields), false};
    });
    addUpstream("s", "u1", upstream);
    start();
    int invalid = 0;
    for (const std::string value :
         {"-1", "0", "0.0", "nan", "inf", "abc", "", "1e400", "2000000", "5 5", "5,5", "0x10"}) {
        CAPTURE(value);
        fields = "X-Limit: " + value + "\r\n";
        CHECK(statusOf(call("/s/")) == 200);
        CHECK_FALSE(services.restrictions().isLimited("u1"));
        ++invalid;
        CHECK(metrics.format().find("persimmon_invalid_notices_total " + std::to_string(invalid))
              != std::string::npos);
    }
    fields = "X-Limit: 5\r\nX-Limit: 7\r\n";
    CHECK(statusOf(call("/s/")) == 200);
    CHECK_FALSE(services.restrictions().isLimited("u1"));
    fields = "X-Limit: 5.5\r\n";
    CHECK(statusOf(call("/s/")) == 200);
    CHECK(services.restrictions().ownRate("u1") == 5.5);
}

// Guards against a limit that a response of another upstream, or a broken one, starts or ends.
TEST_CASE_FIXTURE(Fixture, "responses that are not the upstream's own say nothing of it")
{
    std::string bytes;
    const RawUpstream upstream([&bytes](const std::string &) { return RawResponse{bytes, true}; });
    addUpstream("s", "u1", upstream);
    start();
    const std::string limit = "X-Limit: 1\r\nX-Leaving: 1\r\n";
    const auto another = makeResponse("", "", limit + "X-Not-Run: 1\r\n", 421);
    for (const auto &response :
         {answerWith("X-Id: another\r\n" + limit), another, makeResponse("body", "", limit),
          answerWith(limit).substr(0, answerWith(limit).size() - 1),
          "HTTP/1.1 102 Processing\r\n" + limit + "\r\n" + answerWith("")}) {
        CAPTURE(response);
        bytes = response;
        call("/once/", "POST");
        CHECK(services.restrictions().size() == 0);
        // The upstream counts as replaced or avoided for a time.
        registry.remove("u1", runtime.clock().now(), state::StoreAvailability());
    }
}

// Guards against requests to an upstream that has asked for a pause, and against a request that
// waits until its deadline in place of a rejection.
TEST_CASE_FIXTURE(Fixture, "an upstream that turns requests away for a time gets none")
{
    const RawUpstream upstream(respondWith(answerWith("X-Not-Run: 1\r\nRetry-After: 30\r\n", 503)));
    addUpstream("s", "u1", upstream);
    start();
    for (int i = 0; i < 10; ++i) {
        const auto response = call("/s/");
        CHECK(statusOf(response) == 503);
        CHECK(std::stod(fieldOf(response, "Retry-After")) >= 29);
    }
    CHECK(upstream.requests().size() == 1);
}

// Guards against long pauses that are taken for invalid ones and ignored.
TEST_CASE_FIXTURE(Fixture, "an upstream that states a pause of more than an hour gets no request")
{
    std::string seconds;
    SUBCASE("a little more")
    {
        seconds = "3601";
    }
    SUBCASE("hours")
    {
        seconds = "7200";
    }
    SUBCASE("more than a clock can hold")
    {
        seconds = "99999999999999999999";
    }
    SUBCASE("more than a number can hold")
    {
        seconds = std::string(400, '9');
    }
    const RawUpstream upstream(
            respondWith(answerWith("X-Not-Run: 1\r\nRetry-After: " + seconds + "\r\n", 503)));
    addUpstream("s", "u1", upstream);
    start();
    for (int i = 0; i < 10; ++i) {
        const auto response = call("/s/");
        CHECK(statusOf(response) == 503);
        CHECK(std::stod(fieldOf(response, "Retry-After")) >= 3600);
    }
    CHECK(upstream.requests().size() == 1);
}

// Guards against a pause too small for a number that counts as an endless one.
TEST_CASE_FIXTURE(Fixture, "a pause that is too small for a number is ignored")
{
    const auto seconds = "0." + std::string(400, '0') + "1";
    const RawUpstream upstream(
            respondWith(answerWith("X-Not-Run: 1\r\nRetry-After: " + seconds + "\r\n", 503)));
    addUpstream("s", "u1", upstream);
    start();
    call("/s/");
    const auto received = upstream.requests().size();
    call("/s/");
    CHECK(upstream.requests().size() > received);
}

// Guards against requests to an upstream that shuts down while its registration says nothing of it.
TEST_CASE_FIXTURE(Fixture, "an upstream that says that it is leaving gets no further request")
{
    const RawUpstream leaving(respondWith(answerWith("X-Leaving: 1\r\n")));
    const RawUpstream other(respondWith(answerWith("")));
    addUpstream("s", "u1", leaving);
    addUpstream("s", "u2", other);
    start();
    for (int i = 0; i < 40; ++i)
        CHECK(statusOf(call("/s/")) == 200);
    CHECK(leaving.requests().size() <= 1);
    CHECK(other.requests().size() >= 39);
}
