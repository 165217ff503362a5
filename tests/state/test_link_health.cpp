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

/// Keeps every event and judges the link by looking at all of them.
struct NaiveLink
{
    std::vector<TimePoint> overdue;
    bool lost = false;

    void onReceived()
    {
        overdue.clear();
        lost = false;
    }
    bool isSuspect() const { return lost || overdue.size() >= SuspectShards; }
};

void runLinkSchedule(std::uint32_t seed)
{
    std::mt19937 random(seed);
    LinkHealth link;
    NaiveLink naive;
    TimePoint now{};
    TimePoint received = TimePoint::min();
    for (int event = 0; event < 40; ++event) {
        now += std::chrono::milliseconds(random() % 30);
        const auto sentAt = now - std::chrono::milliseconds(random() % 100);
        switch (random() % 8) {
        case 0:
            link.onReceived(now);
            naive.onReceived();
            received = now;
            break;
        case 1:
            link.onAnswer(std::chrono::milliseconds(random() % 50));
            break;
        case 2:
            link.onLost();
            naive.lost = true;
            break;
        default:
            link.onOverdue(sentAt);
            if (received < sentAt)
                naive.overdue.push_back(sentAt);
        }
        REQUIRE(link.isSuspect() == naive.isSuspect());
        const Duration limit = std::chrono::milliseconds(1 + random() % 1000);
        const auto delay = link.hedgeDelay(limit);
        REQUIRE(delay <= limit / HedgeDeadlineShare);
        REQUIRE(delay >= std::min<Duration>(LeastHedgeDelay, limit / HedgeDeadlineShare));
    }
}

/// One query over shards that have three dispatchers each, hedged at random times.
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
    std::map<std::uint64_t, std::size_t> open;
    std::map<std::size_t, std::set<std::string>> asked{{0, {"a"}}, {1, {"a"}}};
    std::set<std::size_t> answered;
    std::uint64_t lastBatch = 0;
    const auto expect = [&](std::size_t shard) {
        merge.expect(++lastBatch, shard, now + std::chrono::milliseconds(random() % 100));
        open[lastBatch] = shard;
    };
    expect(0);
    expect(1);
    while (now < end) {
        now += std::chrono::milliseconds(random() % 120);
        for (const auto &overdue : merge.takeOverdue(now)) {
            REQUIRE(plan.profile.repeatable);
            REQUIRE_FALSE(answered.contains(overdue.shard));
            REQUIRE(open.at(overdue.batchId) == overdue.shard);
            if (!merge.hasNextDispatcher(overdue.shard))
                continue;
            // No dispatcher gets a shard twice.
            REQUIRE(asked[overdue.shard].insert(merge.takeNextDispatcher(overdue.shard)).second);
            expect(overdue.shard);
        }
        // A hedge time in the past would let the query spin.
        REQUIRE(merge.nextDecision(now) >= std::min(now, end));
        if (open.empty() || random() % 3 != 0)
            continue;
        const auto [batch, shard] = *std::next(open.begin(), random() % open.size());
        protocol::SubResult result;
        result.batchId = batch;
        result.shard = plan.shards[shard].shard.id;
        result.snapshot = plan.snapshot;
        result.outcome = SubOutcome::Done;
        result.items = "[" + std::to_string(batch) + "]";
        const auto step = merge.accept(result, now);
        open.erase(batch);
        REQUIRE(step.action != MergeAction::Drop);
        REQUIRE(answered.insert(shard).second);
        // Each open ask of the answered shard is handed out for cancelling, and none of another.
        auto superseded = merge.takeSuperseded();
        std::erase_if(open, [&, shard = shard](const auto &ask) {
            return ask.second == shard && superseded.erase(ask.first) == 1;
        });
        REQUIRE(superseded.empty());
        for (const auto &[other, otherShard] : open)
            REQUIRE(otherShard != shard);
    }
}

} // namespace

// Guards against a silent dispatcher that keeps getting work, an answering one that loses its work,
// and hedges that come too early or after the deadline.
TEST_CASE("link health agrees with a naive link on random schedules")
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

// Guards against hedges of non-repeatable requests, two asks of one dispatcher for one shard, and
// asks that stay open after another dispatcher has answered.
TEST_CASE("hedged shards are asked once per dispatcher and cancelled after the first answer")
{
    std::printf("hedges: %d schedules, seed %u\n", Schedules, Seed);
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(i);
        runHedgeSchedule(Seed + i);
    }
}

// Guards against more hedges than the profile pays for, and against work that is lost when all
// links are suspect.
TEST_CASE("hedges stay within the budget and suspect dispatchers go last")
{
    ProfileBudgets budgets;
    CHECK_FALSE(budgets.tryTake("p"));
    budgets.addPrimaries("p", 0.05, 1000);
    budgets.addPrimaries("none", 0, 1000);
    int taken = 0;
    while (budgets.tryTake("p"))
        ++taken;
    CHECK(taken == static_cast<int>(ProfileBudgets::InitialTokens) + 50);
    CHECK_FALSE(budgets.tryTake("none"));

    QueryPlan plan;
    plan.shards = {{{"s0", "v", 0, 9}, {"a", "b", "c"}}, {{"s1", "v", 9, 18}, {"b", "a", "c"}}};
    CHECK(demoteSuspects(plan, [](const auto &name) { return name == "a"; })
          == std::set<std::string>{"a"});
    CHECK(plan.shards[0].dispatchers == std::vector<std::string>{"b", "c", "a"});
    CHECK(plan.shards[1].dispatchers == std::vector<std::string>{"b", "a", "c"});
    CHECK(demoteSuspects(plan, [](const auto &) { return true; }).empty());
    CHECK(plan.shards[0].dispatchers.size() == 3);
}
