#include "state/query_merge.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <random>
#include <set>

using namespace persimmon;
using namespace persimmon::state;
using protocol::SubError;
using protocol::SubOutcome;
using protocol::SubResult;

namespace {

constexpr int Schedules = 10'000;
constexpr std::uint32_t Seed = 20261204;

QueryPlan makePlan(std::mt19937 &random)
{
    QueryPlan plan;
    plan.profile.group = "g";
    plan.snapshot = 12;
    const auto shards = 1 + random() % 6;
    std::uint32_t from = 0;
    for (std::uint32_t i = 0; i < shards; ++i) {
        const std::uint32_t to = i + 1 == shards
                                         ? protocol::KeySpaceSize
                                         : from + 1 + static_cast<std::uint32_t>(random() % 9000);
        plan.shards.push_back({{"s" + std::to_string(i), "v", from, to}, {"a", "b"}});
        from = to;
    }
    return plan;
}

/// Reference model of the merge: the open requests and the first result of each shard.
struct ModelMerge
{
    const QueryPlan &plan;
    std::set<std::pair<std::uint64_t, std::string>> openRequests;
    std::map<std::string, std::string> items;

    bool accept(const SubResult &result)
    {
        if (result.snapshot != plan.snapshot
            || openRequests.erase({result.batchId, result.shard}) == 0)
            return false;
        if (result.outcome == SubOutcome::Done)
            return items.emplace(result.shard, result.items).second;
        return !items.contains(result.shard);
    }

    double fraction() const
    {
        double covered = 0;
        for (const auto &[shard, range, unused] : ranges())
            covered += items.contains(shard) ? range : 0;
        return covered / protocol::KeySpaceSize;
    }

    std::vector<std::tuple<std::string, double, int>> ranges() const
    {
        std::vector<std::tuple<std::string, double, int>> all;
        for (const auto &planned : plan.shards)
            all.emplace_back(planned.shard.id, planned.shard.to - planned.shard.from, 0);
        return all;
    }

    std::string joined() const
    {
        std::string text;
        for (const auto &planned : plan.shards) {
            if (const auto found = items.find(planned.shard.id); found != items.end())
                text += (text.empty() ? "" : ",") + found->second.substr(1, 3);
        }
        return "[" + text + "]";
    }
};

SubResult randomResult(std::mt19937 &random, const QueryPlan &plan)
{
    SubResult result;
    result.batchId = 1 + random() % 4;
    result.shard = "s" + std::to_string(random() % (plan.shards.size() + 1));
    result.snapshot = random() % 5 == 0 ? 11 : 12;
    result.outcome = random() % 4 == 0 ? SubOutcome::NotRun : SubOutcome::Done;
    if (result.outcome == SubOutcome::Done)
        result.items = "[" + std::to_string(100 + random() % 900) + "]";
    else
        result.error = random() % 2 == 0 ? SubError::ConnectionLost : SubError::Overloaded;
    return result;
}

void runSchedule(std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto plan = makePlan(random);
    const TimePoint start{};
    const MergeLimits limits{start + std::chrono::seconds(1), start + std::chrono::seconds(2)};
    QueryMerge merge(plan, limits);
    ModelMerge model{plan, {}, {}};
    for (std::size_t i = 0; i < plan.shards.size(); ++i) {
        const auto batch = 1 + random() % 2;
        merge.expect(batch, i);
        model.openRequests.emplace(batch, plan.shards[i].shard.id);
    }
    std::vector<SubResult> sent;
    for (int event = 0; event < 25; ++event) {
        // Every third event on average repeats an earlier result, as a duplicated response does.
        const bool again = !sent.empty() && random() % 3 == 0;
        const auto result = again ? sent[random() % sent.size()] : randomResult(random, plan);
        sent.push_back(result);
        const auto step = merge.accept(result, start);
        REQUIRE((step.action != MergeAction::Drop) == model.accept(result));
        if (step.action == MergeAction::Retry) {
            merge.expect(3, step.shard);
            model.openRequests.emplace(3, plan.shards[step.shard].shard.id);
        }
        REQUIRE(merge.coverage().fraction == doctest::Approx(model.fraction()));
        REQUIRE(merge.coverage().answered == model.items.size());
        if (model.items.size() == plan.shards.size())
            REQUIRE(merge.decide(start).action == MergeAction::Answer);
    }
    REQUIRE(merge.decide(limits.deadline).action == MergeAction::Answer);
    const auto answer = merge.answer(limits.deadline);
    if (answer.outcome == protocol::Outcome::Done)
        REQUIRE(answer.items == model.joined());
    else
        REQUIRE(model.items.empty());
}

} // namespace

// Guards against results of another batch, shard or snapshot in an answer, a shard counted twice,
// and a coverage that does not match the items.
TEST_CASE("the merge agrees with a reference model on random schedules")
{
    std::printf("query merge: %d schedules, seed %u\n", Schedules, Seed);
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(i);
        runSchedule(Seed + i);
    }
}

// Guards against an empty result for a lookup whose shard is missing, a second execution of a
// non-repeatable request, and "not run" for a request that may have run.
TEST_CASE("a non-repeatable lookup that may have run has an unknown outcome and is not retried")
{
    QueryPlan plan;
    plan.profile.scope = protocol::Scope::Key;
    plan.profile.repeatable = false;
    plan.shards.push_back({{"s0", "v", 0, protocol::KeySpaceSize}, {"a", "b"}});
    const TimePoint start{};
    const auto end = start + std::chrono::seconds(1);
    SubResult lost;
    lost.batchId = 1;
    lost.shard = "s0";
    lost.error = SubError::ConnectionLost;

    QueryMerge written(plan, {end, end});
    written.expect(1, 0);
    lost.outcome = SubOutcome::Unknown;
    CHECK(written.accept(lost, start).action == MergeAction::Answer);
    CHECK(written.answer(start).outcome == protocol::Outcome::Unknown);
    CHECK(written.answer(start).error == protocol::CallerError::ConnectionLost);

    QueryMerge unwritten(plan, {end, end});
    unwritten.expect(1, 0);
    lost.outcome = SubOutcome::NotRun;
    CHECK(unwritten.accept(lost, start).action == MergeAction::Retry);
    unwritten.expect(2, 0);
    CHECK(unwritten.answer(end).error == protocol::CallerError::DeadlineExceeded);
}
