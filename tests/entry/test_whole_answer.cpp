#include "tests/entry/query_fixture.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace persimmon;
using namespace persimmon::tests;
using protocol::Batch;
using protocol::SubResult;

namespace {

constexpr std::uint32_t Schedules = 10'000;
constexpr std::uint32_t Seed = 20261208;
constexpr std::size_t Queries = 3;

/// Collects the batches of concurrent queries and sends all their results in random order.
class ReorderingDispatcher
{
public:
    explicit ReorderingDispatcher(std::uint32_t seed) : random_(seed) {}

    void onBatch(const FakeDispatcher::Connection &connection, const Batch &batch)
    {
        const std::lock_guard lock(mutex_);
        batches_.push_back(batch);
        if (batches_.size() < Queries)
            return;
        for (const auto &result : makeSchedule())
            FakeDispatcher::send(connection, result);
    }

private:
    /// Every shard gets one valid result for its batch. Between these are duplicates, results of
    /// another snapshot, of shards that were not requested, and with unknown batch ids.
    std::vector<SubResult> makeSchedule()
    {
        std::vector<SubResult> results;
        for (const auto &batch : batches_) {
            for (const auto &sub : batch.subRequests)
                addShard(results, batch, sub.shard);
        }
        std::shuffle(results.begin(), results.end(), random_);
        return results;
    }

    void addShard(std::vector<SubResult> &results, const Batch &batch, const std::string &shard)
    {
        const auto right = FakeDispatcher::makeResult(batch, shard);
        results.push_back(right);
        if (random_() % 3 == 0)
            results.push_back(right);
        if (random_() % 3 == 0) {
            auto other = batch;
            other.snapshot = 11;
            results.push_back(FakeDispatcher::makeResult(other, shard));
        }
        if (random_() % 3 == 0) {
            // Items of this query with a batch id that no query has.
            auto stray = right;
            stray.batchId += 1'000'000;
            results.push_back(stray);
        }
        if (random_() % 3 == 0)
            results.push_back(FakeDispatcher::makeResult(batch, "s9"));
    }

    std::mutex mutex_;
    std::mt19937 random_;
    std::vector<Batch> batches_;
};

/// Checks that the answer contains each answered shard once, of its own query and snapshot, and
/// that the coverage matches.
void checkAnswer(const protocol::QueryResponse &answer, const std::string &query)
{
    REQUIRE(answer.outcome == protocol::Outcome::Done);
    REQUIRE(answer.snapshot == 12);
    const auto &missing = answer.coverage->missing;
    std::string expected;
    for (int shard = 0; shard < QueryFixture::Shards; ++shard) {
        const auto name = "s" + std::to_string(shard);
        if (std::find(missing.begin(), missing.end(), name) != missing.end())
            continue;
        expected += (expected.empty() ? "" : ",");
        expected += "{\"shard\":\"" + name + "\",\"snapshot\":12,\"query\":" + query + "}";
    }
    REQUIRE(answer.items == "[" + expected + "]");
    const auto answered = QueryFixture::Shards - missing.size();
    REQUIRE(answer.coverage->answered == answered);
    REQUIRE(answer.coverage->fraction
            == doctest::Approx(static_cast<double>(answered) / QueryFixture::Shards));
    REQUIRE(answer.coverage->fraction >= 0.7);
}

} // namespace

// Guards against an answer that contains results of another query or snapshot, or a shard twice,
// when results arrive reordered, duplicated, late or unrequested on the link.
TEST_CASE("each query receives only its own results, and each shard at most once")
{
    std::printf("whole answer: %u schedules, seed %u\n", Schedules, Seed);
    QueryFixture fixture(false);
    std::size_t complete = 0;
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(i);
        // In half of the schedules the query is answered with 3 of 4 shards; the last one is late.
        const bool early = i % 2 == 0;
        auto view = std::make_shared<state::ClusterView>(*fixture.view);
        view->profiles["p"].enoughAfter = std::chrono::milliseconds(early ? 0 : 5000);
        fixture.view = view;
        const auto dispatcher = std::make_shared<ReorderingDispatcher>(Seed + i);
        // The callback shares the dispatcher, which still sends results after early answers.
        fixture.ranked(0).setHook([dispatcher](const auto &connection, const auto &batch) {
            dispatcher->onBatch(connection, batch);
        });
        std::vector<std::future<protocol::QueryResponse>> answers;
        for (std::size_t query = 0; query < Queries; ++query)
            answers.push_back(fixture.start("{\"n\":" + std::to_string(query) + "}"));
        for (std::size_t query = 0; query < Queries; ++query) {
            const auto answer = answers[query].get();
            checkAnswer(answer, "{\"n\":" + std::to_string(query) + "}");
            REQUIRE((early || answer.coverage->isComplete()));
            complete += answer.coverage->isComplete() ? 1 : 0;
        }
    }
    // The schedules are effective only if late and unmatched results occurred.
    CHECK(complete < Schedules * Queries);
    CHECK(fixture.unmatched > static_cast<int>(Schedules));
}
