#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Scheduler of one service whose retries count as arrivals, with a simulated clock.
class Fixture
{
public:
    Fixture()
    {
        for (const auto *name : {"a", "b"}) {
            settings.available.push_back(
                    {name, protocol::HostKind::Upstream, "127.0.0.1:1", "d", "s"});
            settings.traits[name].limit = 3;
        }
        settings.share = 3;
        settings.ramp = false;
        settings.crashTracking = false;
        settings.sharedConnectionLimit = true;
        settings.stragglerFactor = 4;
        settings.extraLoad = {2, true};
        configure();
    }

    void configure() { apply(scheduler.onSettingsChanged(settings, now)); }

    void makeFar(const std::string &name)
    {
        for (auto &[upstream, traits] : settings.traits)
            traits.costFactor = upstream == name ? 3 : 1;
        configure();
    }

    std::uint64_t arrive()
    {
        SubRequestSpec work;
        work.id = ++lastId;
        work.extraLoad = 0;
        work.upstreamLimit = upstreamLimit;
        work.deadline = now + milliseconds(800);
        apply(scheduler.onArrival(work, now));
        return work.id;
    }

    void end(std::uint64_t id, AttemptEnd reason)
    {
        const auto attempt = running.at(id);
        AttemptResult result;
        result.end = reason;
        apply(scheduler.onAttemptEnded(id, attempt.attempt, result, now));
    }

    /// Has both upstreams answer once, after which they receive several attempts at a time.
    void answerOnce()
    {
        for (const auto id : {arrive(), arrive()})
            end(id, AttemptEnd::Answered);
        starts.clear();
    }

    void advance(milliseconds time)
    {
        now += time;
        apply(scheduler.onTimer(now));
    }

    void apply(const SchedulerActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                running[start->id] = *start;
                ++starts[start->upstream.name];
            } else if (const auto *reply = std::get_if<SubReply>(&action)) {
                replies[reply->id] = *reply;
            }
        }
    }

    ServiceSettings settings;
    ServiceScheduler scheduler;
    TimePoint now{std::chrono::hours(1)};
    std::uint32_t upstreamLimit = 2;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, StartAttempt> running;
    std::map<std::uint64_t, SubReply> replies;
    std::map<std::string, int> starts;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "retries after rejections consume budget tokens when arrivals count")
{
    // Healthy upstreams shed load. Guards against retries without a token that together exceed the
    // extra load that the upstreams allow.
    int arrivals = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = arrive();
        while (!replies.contains(id))
            end(id, AttemptEnd::Shed);
    }
    for (const auto &[name, count] : starts)
        arrivals += count;
    CHECK(arrivals == 20 + 2);
    CHECK(replies.at(1).outcome == protocol::SubOutcome::NotRun);
}

TEST_CASE_FIXTURE(Fixture, "work moves to the upstream with the lower failure rate")
{
    // One of two upstreams sheds part of its requests and answers the others fast. Guards against
    // selection by latency alone, which would prefer it.
    settings.extraLoad = {0, true};
    configure();
    std::uint32_t random = 1;
    for (int i = 0; i < 400; ++i) {
        random = random * 1664525 + 1013904223;
        const auto id = arrive();
        const bool sheds = running.at(id).upstream.name == "a" && (random >> 16) % 10 < 6;
        now += milliseconds(running.at(id).upstream.name == "a" ? 10 : 13);
        end(id, sheds ? AttemptEnd::Shed : AttemptEnd::Answered);
    }
    CHECK(starts.at("b") > 3 * starts.at("a"));
}

TEST_CASE_FIXTURE(Fixture, "an upstream that sheds load is not probed as a slow one")
{
    // One of two replicas sheds load for a while. Guards against probes of an upstream that rejects
    // requests fast, which would use up the retry budget.
    settings.extraLoad = {100, true};
    configure();
    const auto serve = [this] {
        const auto id = arrive();
        while (!replies.contains(id)) {
            now += milliseconds(10);
            end(id, running.at(id).upstream.name == "a" ? AttemptEnd::Shed : AttemptEnd::Answered);
        }
    };
    for (int i = 0; i < 40; ++i)
        serve();
    starts.clear();
    // An additional request on the healthy upstream raises its ranking cost.
    arrive();
    for (int i = 0; i < 60; ++i)
        serve();
    CHECK(starts["a"] <= 3);
}

TEST_CASE_FIXTURE(Fixture, "a failed connection attempt consumes no token")
{
    // Guards against unreachable upstreams that use up the budget although no request arrived.
    const auto id = arrive();
    const auto first = running.at(id).upstream.name;
    end(id, AttemptEnd::NotWritten);
    CHECK(running.at(id).upstream.name != first);
    CHECK(scheduler.budget().tokens() == 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "every arrival after the first consumes a token regardless of earlier failures")
{
    // One upstream is down, and the address of the other belongs to another service. Guards against
    // retries without a token after failed connections, each of which adds an arrival.
    int arrivals = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = arrive();
        int requestArrivals = 0;
        while (!replies.contains(id)) {
            const bool replaced = running.at(id).upstream.name == "b";
            requestArrivals += replaced ? 1 : 0;
            end(id, replaced ? AttemptEnd::Replaced : AttemptEnd::NotWritten);
        }
        arrivals += std::max(0, requestArrivals - 1);
        now += milliseconds(50);
    }
    CHECK(arrivals <= 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "an upstream whose address belongs to another instance receives no requests")
{
    // Guards against sending requests to the address until the record of the upstream is removed.
    settings.available.pop_back();
    configure();
    const auto id = arrive();
    end(id, AttemptEnd::Replaced);
    REQUIRE(replies.contains(id));
    CHECK(replies.at(id).outcome == protocol::SubOutcome::NotRun);
    const auto next = arrive();
    CHECK_FALSE(running.contains(next));
    // A new registration has a new address.
    settings.available[0].address = "127.0.0.1:2";
    configure();
    CHECK(running.contains(arrive()));
}

TEST_CASE_FIXTURE(Fixture, "a request is executed on at most the permitted number of upstreams")
{
    // Guards against an attempt on a third upstream when two are permitted.
    settings.available.push_back({"c", protocol::HostKind::Upstream, "127.0.0.1:1", "d", "s"});
    settings.extraLoad = {50, true};
    configure();
    for (int i = 0; i < 20; ++i) {
        const auto id = arrive();
        std::set<std::string> used;
        while (!replies.contains(id)) {
            used.insert(running.at(id).upstream.name);
            end(id, AttemptEnd::Failed);
        }
        CHECK(used.size() <= 2);
    }
}

TEST_CASE_FIXTURE(Fixture, "an unreachable upstream does not count against the upstream limit")
{
    // Two of three replicas are down. Guards against a request that fails although the third one
    // could execute it.
    settings.available.push_back({"c", protocol::HostKind::Upstream, "127.0.0.1:1", "d", "s"});
    settings.traits["c"].limit = 3;
    configure();
    const auto id = arrive();
    end(id, AttemptEnd::NotWritten);
    end(id, AttemptEnd::NotWritten);
    CHECK(starts == std::map<std::string, int>{{"a", 1}, {"b", 1}, {"c", 1}});
    std::set<std::string> reached;
    while (!replies.contains(id)) {
        reached.insert(running.at(id).upstream.name);
        end(id, AttemptEnd::Lost);
    }
    CHECK(reached.size() == upstreamLimit);
}

TEST_CASE_FIXTURE(Fixture, "the error answer of an upstream is forwarded when no retry is possible")
{
    // Guards against replacing the answer of the upstream with a generated error.
    settings.extraLoad = {0, true};
    configure();
    const auto id = arrive();
    AttemptResult result;
    result.end = AttemptEnd::Failed;
    auto answer = std::make_shared<protocol::ForwardedResponse>();
    answer->status = 500;
    result.answer = answer;
    apply(scheduler.onAttemptEnded(id, running.at(id).attempt, result, now));
    REQUIRE(replies.contains(id));
    CHECK(replies.at(id).outcome == protocol::SubOutcome::Unknown);
    REQUIRE(replies.at(id).answer);
    CHECK(replies.at(id).answer->status == 500);
}

TEST_CASE_FIXTURE(Fixture, "new work avoids a stalled upstream")
{
    // An upstream pauses with work in flight. Guards against new work that queues behind it.
    answerOnce();
    for (int i = 0; i < 30; ++i) {
        const auto id = arrive();
        now += milliseconds(10);
        end(id, AttemptEnd::Answered);
    }
    const auto stuck = arrive();
    const auto paused = running.at(stuck).upstream.name;
    now += milliseconds(40);
    for (int i = 0; i < 3; ++i)
        CHECK(running.at(arrive()).upstream.name != paused);
}

TEST_CASE_FIXTURE(Fixture, "a near upstream is used again soon after a slow phase")
{
    // At a few requests per second, a near upstream pauses once. Guards against outdated latencies
    // that keep sending the work to another region.
    const auto serve = [this](milliseconds latency) {
        const auto id = arrive();
        now += latency;
        const auto upstream = running.at(id).upstream.name;
        end(id, AttemptEnd::Answered);
        return upstream;
    };
    makeFar("a");
    for (int i = 0; i < 10; ++i)
        CHECK(serve(milliseconds(10)) == "b");
    makeFar("b");
    for (int i = 0; i < 30; ++i)
        CHECK(serve(milliseconds(10)) == "a");
    const std::vector<std::uint64_t> slow{arrive(), arrive(), arrive()};
    now += milliseconds(300);
    for (const auto id : slow)
        end(id, AttemptEnd::Answered);
    std::string last;
    for (int i = 0; i < 4; ++i) {
        last = serve(milliseconds(10));
        now += milliseconds(240);
    }
    CHECK(last == "a");
}

TEST_CASE_FIXTURE(Fixture, "the probe interval grows while an upstream stays slow")
{
    // A near upstream stays slow. Guards against frequent probes, each of which delays a request,
    // and against probes of a far upstream while the near one is healthy.
    const auto serve = [this](milliseconds latencyOfA) {
        const auto id = arrive();
        const auto upstream = running.at(id).upstream.name;
        now += upstream == "a" ? latencyOfA : milliseconds(12);
        end(id, AttemptEnd::Answered);
        now += milliseconds(100);
        return upstream;
    };
    makeFar("a");
    for (int i = 0; i < 10; ++i)
        CHECK(serve(milliseconds(10)) == "b");
    makeFar("b");
    for (int i = 0; i < 90; ++i)
        CHECK(serve(milliseconds(10)) == "a");
    const auto usesOfA = [&](seconds span) {
        int uses = 0;
        for (const auto until = now + span; now < until;)
            uses += serve(milliseconds(200)) == "a" ? 1 : 0;
        return uses;
    };
    CHECK(usesOfA(seconds(4)) <= 8);
    CHECK(usesOfA(seconds(16)) <= 5);
    CHECK(usesOfA(seconds(16)) >= 2);
}

TEST_CASE_FIXTURE(Fixture, "work for a cold upstream starts when its rate limit permits")
{
    // All upstreams of a service restart cold. Guards against exceeding the rate limit and against
    // queued work that is never started.
    settings.available.pop_back();
    settings.traits["a"].coldUntil = now + seconds(5);
    settings.traits["a"].coldRate = 1;
    configure();
    const auto first = arrive();
    const auto second = arrive();
    CHECK(running.contains(first));
    CHECK_FALSE(running.contains(second));
    end(first, AttemptEnd::Answered);
    CHECK_FALSE(running.contains(second));
    // The deadline of 800 ms is before the next permitted start, so the work is rejected.
    advance(milliseconds(800));
    REQUIRE(replies.contains(second));
    CHECK(replies.at(second).outcome == protocol::SubOutcome::NotRun);
    now += ColdStartLimiter::Window;
    CHECK(running.contains(arrive()));
}

TEST_CASE_FIXTURE(Fixture, "an upstream receives one attempt at a time until it has answered")
{
    // All hosts start again after a power cut. Guards against each of them opening all connections
    // of its share at once, while upstreams still count those of the earlier processes.
    for (int i = 0; i < 6; ++i)
        arrive();
    CHECK(starts["a"] == 1);
    CHECK(starts["b"] == 1);
    end(running.begin()->first, AttemptEnd::Answered);
    CHECK(starts["a"] + starts["b"] == 5);
}

TEST_CASE_FIXTURE(Fixture, "an upstream that resets new connections receives one attempt at a time")
{
    // After a power cut of all hosts, upstreams still count the connections of the earlier
    // processes. Guards against each host opening as many connections as before, most of which are
    // reset and cost a retry.
    answerOnce();
    AttemptResult reset;
    reset.end = AttemptEnd::Lost;
    reset.newConnection = true;
    const auto lost = arrive();
    while (!replies.contains(lost))
        apply(scheduler.onAttemptEnded(lost, running.at(lost).attempt, reset, now));
    REQUIRE(starts["a"] > 0);
    REQUIRE(starts["b"] > 0);
    starts.clear();
    for (int i = 0; i < 6; ++i)
        arrive();
    CHECK(starts["a"] == 1);
    CHECK(starts["b"] == 1);
    now += seconds(4);
    for (int i = 0; i < 6; ++i)
        arrive();
    CHECK(starts["a"] == 3);
    CHECK(starts["b"] == 3);
}

TEST_CASE("schedulers that share a timing registry use its execution times from the first request")
{
    // A query over 20 shards right after a start. Guards against hedges after the default delay
    // because each shard alone has too few samples.
    const auto timings = std::make_shared<TimingRegistry>();
    for (int i = 0; i < 20; ++i)
        timings->get(1, false).record(milliseconds(10));
    CHECK(timings->hedgeDelay(1, false) <= milliseconds(25));
    // A far upstream adds its network latency to the delay, not a multiple of it.
    for (int i = 0; i < 20; ++i)
        timings->get(1, true).record(milliseconds(30));
    CHECK(timings->hedgeDelay(1, true) <= milliseconds(50));
    CHECK(timings->hedgeDelay(1, true) > timings->hedgeDelay(1, false));
}

TEST_CASE("an unused budget starts with its full burst")
{
    // Guards against a restarted host that cannot hedge, and against refilling the burst on each
    // change of the number of hosts.
    ExtraLoadBudget budget;
    budget.setCapacity(7);
    CHECK(budget.tokens() == 7);
    budget.addPrimary(0);
    while (budget.tryConsume()) {
    }
    budget.setCapacity(20);
    CHECK(budget.tokens() < 1);
    budget.setCapacity(0.5);
    CHECK(budget.tokens() <= 0.5);
}
