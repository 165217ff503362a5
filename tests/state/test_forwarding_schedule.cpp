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

/// One service whose retries count as arrivals, on a clock that the test advances.
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
        settings.stragglerFactor = 4;
        settings.extraLoad = {2, true};
        configure();
    }

    void configure() { apply(scheduler.onView(settings, now)); }

    void makeFar(const std::string &name)
    {
        for (auto &[upstream, traits] : settings.traits)
            traits.costFactor = upstream == name ? 3 : 1;
        configure();
    }

    std::uint64_t arrive()
    {
        SubWork work;
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

TEST_CASE_FIXTURE(Fixture, "retries after refusals stay within the budget where arrivals count")
{
    // Load pattern: upstreams that shed while they are healthy. Guards against refused retries that
    // are free and together exceed what the upstreams allow.
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

TEST_CASE_FIXTURE(Fixture, "work moves to the upstream that fails less")
{
    // Load pattern: one of two upstreams sheds part of its requests while it answers the others
    // fast. Guards against a choice by latency alone, which prefers the one that sheds.
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

TEST_CASE_FIXTURE(Fixture, "an upstream that sheds is not taken for a slow one")
{
    // Load pattern: one of two replicas sheds for a while. Guards against probes that use up the
    // retry budget on an upstream that answers fast and refuses.
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
    // Other work on the sound one makes it look dearer.
    arrive();
    for (int i = 0; i < 60; ++i)
        serve();
    CHECK(starts["a"] <= 3);
}

TEST_CASE_FIXTURE(Fixture, "a connection that was never made costs no token")
{
    // Guards against a budget that dead upstreams use up although nothing arrived anywhere.
    const auto id = arrive();
    const auto first = running.at(id).upstream.name;
    end(id, AttemptEnd::NotWritten);
    CHECK(running.at(id).upstream.name != first);
    CHECK(scheduler.budget().tokens() == 2);
}

TEST_CASE_FIXTURE(Fixture, "arrivals beyond the first take tokens whatever failed before them")
{
    // Load pattern: one upstream is down, the address of the other belongs to another service.
    // Guards against free retries after failed connections that each end in one more arrival.
    int arrivals = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = arrive();
        int ofRequest = 0;
        while (!replies.contains(id)) {
            const bool replaced = running.at(id).upstream.name == "b";
            ofRequest += replaced ? 1 : 0;
            end(id, replaced ? AttemptEnd::Replaced : AttemptEnd::NotWritten);
        }
        arrivals += std::max(0, ofRequest - 1);
        now += milliseconds(50);
    }
    CHECK(arrivals <= 2);
}

TEST_CASE_FIXTURE(Fixture, "an upstream whose address belongs to another gets no more requests")
{
    // Guards against requests that go on to an address until the removal of its record is due.
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

TEST_CASE_FIXTURE(Fixture, "a request runs on no more upstreams than its limit")
{
    // Guards against a third upstream for a request that may run on two.
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

TEST_CASE_FIXTURE(Fixture, "an upstream that cannot be reached does not count against the limit")
{
    // Load pattern: two of three replicas are down. Guards against a request that fails although
    // the third one could execute it.
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

TEST_CASE_FIXTURE(Fixture, "the failure of an upstream is passed on when nothing better comes")
{
    // Guards against an own error in place of the answer that the upstream gave.
    settings.extraLoad = {0, true};
    configure();
    const auto id = arrive();
    AttemptResult result;
    result.end = AttemptEnd::Failed;
    auto answer = std::make_shared<protocol::ForwardedAnswer>();
    answer->status = 500;
    result.answer = answer;
    apply(scheduler.onAttemptEnded(id, running.at(id).attempt, result, now));
    REQUIRE(replies.contains(id));
    CHECK(replies.at(id).outcome == protocol::SubOutcome::Unknown);
    REQUIRE(replies.at(id).answer);
    CHECK(replies.at(id).answer->status == 500);
}

TEST_CASE_FIXTURE(Fixture, "new work avoids an upstream that has stalled")
{
    // Load pattern: an upstream pauses with work in flight. Guards against new work that queues up
    // behind the pause.
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

TEST_CASE_FIXTURE(Fixture, "a near upstream gets its work back soon after it was slow")
{
    // Load pattern: few requests a second, and a near upstream that pauses once. Guards against
    // work that goes to another region for a long time because of a measurement that is old.
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

TEST_CASE_FIXTURE(Fixture, "an upstream that stays slow is tried again ever less often")
{
    // Load pattern: a near upstream is slow for a long time. Guards against probes that each delay
    // a request, and against probes of a far upstream while the near one is sound.
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

TEST_CASE_FIXTURE(Fixture, "work that waits for a cold upstream starts when its rate allows")
{
    // Load pattern: a whole service that returns cold. Guards against more than the rate and
    // against work that nothing wakes.
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
    // The deadline of 800 ms is before the next start, so that the work is refused and not sent.
    advance(milliseconds(800));
    REQUIRE(replies.contains(second));
    CHECK(replies.at(second).outcome == protocol::SubOutcome::NotRun);
    now += ColdRate::Window;
    CHECK(running.contains(arrive()));
}

TEST_CASE("schedulers that share a book know when an answer is late from the first request on")
{
    // Load pattern: a query over 20 shards after a start. Guards against hedges that wait for the
    // assumed delay because each shard alone has seen too few answers.
    const auto book = std::make_shared<TimingBook>();
    for (int i = 0; i < 20; ++i)
        book->of(1, false).record(milliseconds(10));
    CHECK(book->hedgeDelay(1, false) <= milliseconds(25));
    // Far upstreams add their way, not a multiple of it.
    for (int i = 0; i < 20; ++i)
        book->of(1, true).record(milliseconds(30));
    CHECK(book->hedgeDelay(1, true) <= milliseconds(50));
    CHECK(book->hedgeDelay(1, true) > book->hedgeDelay(1, false));
}

TEST_CASE("a budget that was never used starts with its whole burst")
{
    // Guards against a restarted host that cannot hedge, and against bursts that are filled again
    // by each change of the number of hosts.
    ExtraLoadBudget budget;
    budget.setCapacity(7);
    CHECK(budget.tokens() == 7);
    budget.addPrimary(0);
    while (budget.tryTake()) {
    }
    budget.setCapacity(20);
    CHECK(budget.tokens() < 1);
    budget.setCapacity(0.5);
    CHECK(budget.tokens() <= 0.5);
}
