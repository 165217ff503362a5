#include "tests/soak/invariant_checker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace persimmon::tests;

namespace {

using std::chrono::milliseconds;

/// Longer than a host may need to take a version back, shorter than it may need to learn of one.
constexpr milliseconds TimeToNextRequest{500};

InvariantChecker::Attempt makeAttempt(const std::string &id, milliseconds sentAfter, int status)
{
    InvariantChecker::Attempt attempt;
    attempt.id = id;
    attempt.target = "/v1/q";
    attempt.host = 1;
    attempt.incarnation = 1;
    attempt.sentAt = InvariantChecker::Clock::now() + sentAfter;
    attempt.endedAt = attempt.sentAt;
    attempt.status = status;
    return attempt;
}

bool reportsRevert(InvariantChecker &checker)
{
    const auto violations = checker.finish();
    return std::any_of(violations.begin(), violations.end(), [](const std::string &line) {
        return line.find("reverted from version 1") != std::string::npos;
    });
}

} // namespace

// Guards against a soak that misses a host which goes back to an earlier configuration.
TEST_CASE("a host that stops to serve a version of which an upstream saw the effect has reverted")
{
    InvariantChecker checker;
    checker.recordConfigVersion();
    int status = 504;
    SUBCASE("the caller got a response") {}
    SUBCASE("the caller got no response")
    {
        status = 0;
    }
    checker.recordArrival("first", "s0-a");
    checker.checkResponse(makeAttempt("first", milliseconds(0), status), "");
    checker.checkResponse(makeAttempt("second", TimeToNextRequest, 404), "");
    CHECK(reportsRevert(checker));
}

// Guards against a refusal of a host without a configuration that counts as one of a version.
TEST_CASE("a host that refuses requests before it has a configuration has not reverted")
{
    InvariantChecker checker;
    checker.recordConfigVersion();
    checker.checkResponse(makeAttempt("first", milliseconds(0), 503), "");
    checker.checkResponse(makeAttempt("second", TimeToNextRequest, 404), "");
    CHECK_FALSE(reportsRevert(checker));
}
