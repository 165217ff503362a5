#include "state/link_health.h"
#include "state/profile_budgets.h"
#include "state/query_merge.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <random>
#include <set>

using namespace persimmon;
using namespace persimmon::state;
using namespace std::chrono_literals;
using protocol::SubError;
using protocol::SubOutcome;

namespace {

constexpr int Schedules = 10'000;
constexpr std::uint32_t Seed = 20261207;

/// Reference model of LinkHealth that stores every overdue event.
struct ReferenceLink
{
    std::vector<TimePoint> overdue;
    bool lost = false;

    void onReceived()
    {
        overdue.clear();
        lost = false;
    }
    bool isSuspect() const { return lost || overdue.size() >= SuspectThreshold; }
};

void runLinkSchedule(std::uint32_t seed)
{
    std::mt19937 random(seed);
    LinkHealth link;
    ReferenceLink reference;
    TimePoint now{};
    TimePoint received = TimePoint::min();
    for (int event = 0; event < 40; ++event) {
        now += std::chrono::milliseconds(random() % 30);
        const auto sentAt = now - std::chrono::milliseconds(random() % 100);
        switch (random() % 8) {
        case 0:
            link.onReceived(now);
            reference.onReceived();
            received = now;
            break;
        case 1:
            link.onAnswer(std::chrono::milliseconds(random() % 50));
            break;
        case 2:
            link.onLost();
            reference.lost = true;
            break;
        default:
            link.onOverdue(sentAt);
            if (received < sentAt)
                reference.overdue.push_back(sentAt);
        }
        REQUIRE(link.isSuspect() == reference.isSuspect());
        const Duration limit = std::chrono::milliseconds(1 + random() % 1000);
        const auto delay = link.hedgeDelay(limit);
        REQUIRE(delay <= limit / HedgeDeadlineDivisor);
        REQUIRE(delay >= std::min<Duration>(MinHedgeDelay, limit / HedgeDeadlineDivisor));
    }
}

/// Runs one query over two shards with three dispatchers each, hedged at random times.
void runHedgeSchedule(std::uint32_t seed)
{
    std::mt19937 random(seed);
    QueryPlan plan;
    plan.snapshot = 7;
    plan.profile.repeatable = random() % 4 != 0;
    const std::vector<std::string> dispatchers{"a", "b", "c"};
    plan.shards = {{{"s0", "v", 0, 9}, dispatchers}, {{"s1", "v", 9, 18}, dispatchers}};
    TimePoint now{};
    const auto end = now + 1s;
    QueryMerge merge(plan, {end, end});
    std::map<std::uint64_t, std::size_t> pending;
    std::map<std::size_t, std::set<std::string>> usedDispatchers{{0, {"a"}}, {1, {"a"}}};
    std::set<std::size_t> answered;
    std::uint64_t lastBatch = 0;
    const auto expect = [&](std::size_t shard) {
        merge.expect(++lastBatch, shard, now + std::chrono::milliseconds(random() % 100));
        pending[lastBatch] = shard;
    };
    expect(0);
    expect(1);
    while (now < end) {
        now += std::chrono::milliseconds(random() % 120);
        for (const auto &overdue : merge.takeOverdue(now)) {
            REQUIRE(plan.profile.repeatable);
            REQUIRE_FALSE(answered.contains(overdue.shard));
            REQUIRE(pending.at(overdue.batchId) == overdue.shard);
            if (!merge.hasNextDispatcher(overdue.shard))
                continue;
            // A dispatcher must not receive the same shard twice.
            REQUIRE(usedDispatchers[overdue.shard]
                            .insert(merge.takeNextDispatcher(overdue.shard))
                            .second);
            expect(overdue.shard);
        }
        // A hedge time in the past would cause a busy loop.
        REQUIRE(merge.nextDecision(now) >= std::min(now, end));
        if (pending.empty() || random() % 3 != 0)
            continue;
        const auto [batch, shard] = *std::next(pending.begin(), random() % pending.size());
        protocol::SubResult result;
        result.batchId = batch;
        result.shard = plan.shards[shard].shard.id;
        result.snapshot = plan.snapshot;
        result.outcome = SubOutcome::Done;
        result.items = "[" + std::to_string(batch) + "]";
        const auto step = merge.accept(result, now);
        pending.erase(batch);
        REQUIRE(step.action != MergeAction::Drop);
        REQUIRE(answered.insert(shard).second);
        // Exactly the pending requests for the answered shard are returned for cancellation.
        auto superseded = merge.takeSuperseded();
        std::erase_if(pending, [&, shard = shard](const auto &request) {
            return request.second == shard && superseded.erase(request.first) == 1;
        });
        REQUIRE(superseded.empty());
        for (const auto &[other, otherShard] : pending)
            REQUIRE(otherShard != shard);
    }
}

} // namespace

// Guards against a second dispatcher that executes shards of one that is alive, which overloads
// cold upstreams: each dispatcher counts only its own executions.
TEST_CASE("a shard is hedged only if its dispatcher is silent or the delay is long")
{
    constexpr auto Limit = 300ms;
    LinkHealth link;
    const TimePoint start{};
    const auto shouldHedge = [&](std::chrono::milliseconds sent, std::chrono::milliseconds now) {
        return link.shouldHedge(start + sent, start + now, Limit, start + now);
    };
    link.onReceived(start);
    CHECK_FALSE(shouldHedge(0ms, 20ms));
    link.onReceived(start + 20ms);
    CHECK_FALSE(shouldHedge(0ms, 40ms));
    CHECK(shouldHedge(0ms, 20ms + MinHedgeDelay));
    link.onReceived(start + 99ms);
    CHECK(shouldHedge(0ms, 100ms));
    link.onLost();
    CHECK(shouldHedge(90ms, 100ms));
    // The timer expired late, so the answer may not have been read yet.
    CHECK_FALSE(link.shouldHedge(start, start + 25ms, Limit, start + 60ms));
    CHECK(link.shouldHedge(start, start + 25ms, Limit, start + 100ms));
}

// Guards against an unresponsive dispatcher that still receives work, a responsive one that is
// marked suspect, and hedges that are too early or after the deadline.
TEST_CASE("link health matches a reference model on random schedules")
{
    std::printf("link health: %d schedules, seed %u\n", Schedules, Seed);
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(i);
        runLinkSchedule(Seed + i);
    }
    LinkHealth steady;
    for (int i = 0; i < 100; ++i)
        steady.onAnswer(20ms);
    CHECK(steady.hedgeDelay(1s) >= 60ms);
    CHECK(steady.hedgeDelay(1s) < 75ms);
}

// Guards against hedges of non-repeatable requests, duplicate requests for one shard to the same
// dispatcher, and requests that stay pending after another dispatcher has answered.
TEST_CASE("a hedged shard is sent once per dispatcher and cancelled after the first answer")
{
    std::printf("hedges: %d schedules, seed %u\n", Schedules, Seed);
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(i);
        runHedgeSchedule(Seed + i);
    }
}

// Guards against more hedges than the budget of the profile allows, and against work that is lost
// when all links are suspect.
TEST_CASE("hedges stay within the budget and suspect dispatchers are ordered last")
{
    ProfileBudgets budgets;
    CHECK_FALSE(budgets.tryConsume("p"));
    budgets.addPrimaries("p", 0.05, 1000);
    budgets.addPrimaries("none", 0, 1000);
    int taken = 0;
    while (budgets.tryConsume("p"))
        ++taken;
    CHECK(taken == static_cast<int>(ProfileBudgets::InitialTokens) + 50);
    CHECK_FALSE(budgets.tryConsume("none"));

    QueryPlan plan;
    plan.shards = {{{"s0", "v", 0, 9}, {"a", "b", "c"}}, {{"s1", "v", 9, 18}, {"b", "a", "c"}}};
    CHECK(demoteSuspects(plan, [](const auto &name) { return name == "a"; })
          == std::set<std::string>{"a"});
    CHECK(plan.shards[0].dispatchers == std::vector<std::string>{"b", "c", "a"});
    CHECK(plan.shards[1].dispatchers == std::vector<std::string>{"b", "a", "c"});
    CHECK(demoteSuspects(plan, [](const auto &) { return true; }).empty());
    CHECK(plan.shards[0].dispatchers.size() == 3);
}
