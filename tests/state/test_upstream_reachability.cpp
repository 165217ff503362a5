#include "state/upstream_reachability.h"

#include <doctest/doctest.h>

using namespace persimmon::state;
using std::chrono::milliseconds;

namespace {

const auto KnownUpstreams = [] { return std::size_t(40); };
const TimePoint Start{std::chrono::seconds(100)};

AttemptResult notWritten()
{
    AttemptResult result;
    result.end = AttemptEnd::NotWritten;
    result.newConnection = true;
    return result;
}

AttemptResult answered()
{
    AttemptResult result;
    result.end = AttemptEnd::Answered;
    result.connection = 1;
    return result;
}

} // namespace

TEST_CASE("trial connections are due after three upstreams accept no connection")
{
    UpstreamReachability reachability;
    for (const std::string upstream : {"a", "b", "b"})
        reachability.onAttemptEnded(upstream, notWritten(), Start);
    CHECK_FALSE(reachability.isTrialDue(KnownUpstreams, Start));
    SUBCASE("an answer on an open connection does not tell whether new ones are accepted")
    {
        reachability.onAttemptEnded("d", answered(), Start);
        reachability.onAttemptEnded("c", notWritten(), Start);
        CHECK(reachability.isTrialDue(KnownUpstreams, Start));
    }
    SUBCASE("a new connection in between shows that the path is open")
    {
        auto result = answered();
        result.newConnection = true;
        reachability.onAttemptEnded("d", result, Start);
        reachability.onAttemptEnded("c", notWritten(), Start);
        CHECK_FALSE(reachability.isTrialDue(KnownUpstreams, Start));
    }
    SUBCASE("fewer upstreams are known")
    {
        CHECK(reachability.isTrialDue([] { return std::size_t(2); }, Start));
        CHECK_FALSE(reachability.isTrialDue([] { return std::size_t(3); }, Start));
        CHECK_FALSE(reachability.isTrialDue([] { return std::size_t(0); }, Start));
    }
}

TEST_CASE("trial connections are due after attempts to three upstreams get no response")
{
    UpstreamReachability reachability;
    for (const std::string upstream : {"a", "b", "c"})
        reachability.onAttemptStarted(upstream, Start);
    const auto later = Start + UpstreamReachability::SilenceTime;
    CHECK_FALSE(reachability.isTrialDue(KnownUpstreams, later - milliseconds(1)));
    SUBCASE("without any response")
    {
        CHECK(reachability.isTrialDue(KnownUpstreams, later));
    }
    SUBCASE("with a response of another upstream")
    {
        reachability.onAttemptEnded("d", answered(), Start);
        CHECK_FALSE(reachability.isTrialDue(KnownUpstreams, later));
    }
}

TEST_CASE("only trial connections decide whether the path is lost or open")
{
    UpstreamReachability reachability;
    for (const std::string upstream : {"a", "b", "c"})
        reachability.onAttemptEnded(upstream, notWritten(), Start);
    SUBCASE("other upstreams accept connections")
    {
        CHECK_FALSE(reachability.onTrialEnded(true, Start));
        CHECK_FALSE(reachability.isLost());
        CHECK_FALSE(reachability.isTrialDue(KnownUpstreams, Start));
    }
    SUBCASE("no upstream accepts a connection")
    {
        reachability.onTrialStarted(Start);
        CHECK(reachability.onTrialEnded(false, Start));
        CHECK(reachability.isLost());
        CHECK(reachability.ownFraction(Start) == 0);
        CHECK_FALSE(reachability.isTrialDue(KnownUpstreams, Start + milliseconds(1)));
        const auto next = Start + UpstreamReachability::TrialInterval;
        CHECK(reachability.isTrialDue(KnownUpstreams, next));
        CHECK_FALSE(reachability.onTrialEnded(false, next));
        CHECK(reachability.lostTime(next) == next - Start);
        CHECK(reachability.onTrialEnded(true, next));
        CHECK_FALSE(reachability.isLost());
        CHECK(reachability.ownFraction(next) == 0);
        const auto half = next + UpstreamReachability::RecoveryTime / 2;
        CHECK(reachability.ownFraction(half) == doctest::Approx(0.5));
        CHECK(reachability.ownFraction(half + UpstreamReachability::RecoveryTime) == 1);
    }
}

// Guards against requests that are passed on while open connections still bring their responses.
TEST_CASE("upstreams are silent only if none has responded for some time")
{
    UpstreamReachability reachability;
    CHECK(reachability.isSilent(Start));
    reachability.onAttemptEnded("a", answered(), Start);
    const auto later = Start + UpstreamReachability::SilenceTime;
    CHECK_FALSE(reachability.isSilent(later - milliseconds(1)));
    reachability.onAttemptEnded("a", notWritten(), later);
    CHECK(reachability.isSilent(later));
}
