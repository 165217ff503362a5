#include "tests/entry/query_fixture.h"

#include <thread>

using namespace persimmon;
using namespace persimmon::tests;
using namespace std::chrono_literals;
using protocol::Batch;
using protocol::CallerError;
using protocol::Outcome;
using protocol::SubError;

namespace {

using Connection = FakeDispatcher::Connection;

void ignoreBatch(const Connection &, const Batch &) {}

/// Answers all shards except the last one.
void answerAllButLast(const Connection &connection, const Batch &batch)
{
    for (const auto &sub : batch.subRequests) {
        if (sub.shard != "s3")
            FakeDispatcher::send(connection, FakeDispatcher::makeResult(batch, sub.shard));
    }
}

} // namespace

// Guards against sending other shards before the canary is answered, and against a canary for a
// query that is already proven.
TEST_CASE("the other shards of an unproven query wait for the canary")
{
    QueryFixture fixture(true);
    auto &owner = fixture.ranked(0);
    std::atomic<std::size_t> batchesDuringHold = 0;
    owner.setHook([&](const Connection &connection, const Batch &batch) {
        if (batch.canary) {
            std::this_thread::sleep_for(10ms);
            batchesDuringHold = owner.batches().size();
        }
        FakeDispatcher::answerAll(connection, batch);
    });
    const auto answer = fixture.run("{}");
    CHECK(answer.coverage->isComplete());
    CHECK(batchesDuringHold == 1);
    REQUIRE(owner.batches().size() == 2);
    CHECK(owner.batches()[0].subRequests.size() == 1);
    CHECK(fixture.run("{}").coverage->isComplete());
    REQUIRE(owner.batches().size() == 3);
    CHECK_FALSE(owner.batches()[2].canary);
}

// Guards against sending a quarantined query to further shards, and against reporting it as run.
TEST_CASE("a canary refused as quarantined ends the query as not run")
{
    QueryFixture fixture(true);
    fixture.ranked(0).setHook([](const Connection &connection, const Batch &batch) {
        FakeDispatcher::send(connection,
                             FakeDispatcher::makeFailure(batch, batch.subRequests[0].shard,
                                                         SubError::Quarantined));
    });
    const auto answer = fixture.run("{}");
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.error == CallerError::Quarantined);
    CHECK(fixture.ranked(0).batches().size() == 1);
    CHECK(fixture.ranked(1).batches().empty());
}

// Guards against an answer that mixes items of the abandoned snapshot and of the next one.
TEST_CASE("a missing snapshot makes the whole query replan on another snapshot")
{
    QueryFixture fixture(false);
    fixture.ranked(0).setHook([](const Connection &connection, const Batch &batch) {
        for (const auto &sub : batch.subRequests) {
            const bool missing = batch.snapshot == 12 && sub.shard == "s2";
            FakeDispatcher::send(connection,
                                 missing ? FakeDispatcher::makeFailure(batch, sub.shard,
                                                                       SubError::SnapshotMissing)
                                         : FakeDispatcher::makeResult(batch, sub.shard));
        }
    });
    const auto answer = fixture.run("{}");
    CHECK(answer.outcome == Outcome::Done);
    CHECK(answer.snapshot == 11);
    CHECK(answer.coverage->isComplete());
    CHECK(answer.items.find("\"snapshot\":12") == std::string::npos);
}

// Guards against shards that are not retried after the connection to their dispatcher is lost.
TEST_CASE("shards of a lost link are retried on the next dispatcher unless non-repeatable")
{
    QueryFixture fixture(false);
    const auto drop = [](const Connection &connection, const Batch &) { connection->close(); };
    fixture.ranked(0).setHook(drop);
    CHECK(fixture.run("{}").coverage->isComplete());
    CHECK(fixture.ranked(1).batches().size() >= 1);

    QueryFixture payment(false);
    payment.profile().repeatable = false;
    payment.profile().scope = protocol::Scope::Key;
    payment.ranked(0).setHook(drop);
    const auto answer = payment.run("{}");
    CHECK(answer.outcome == Outcome::Unknown);
    CHECK(answer.error == CallerError::ConnectionLost);
    CHECK(payment.ranked(1).batches().empty());
}

// Guards against shards missing because of an unresponsive dispatcher, and against sending it new
// queries.
TEST_CASE("shards of an unresponsive dispatcher are hedged and new queries avoid it")
{
    QueryFixture fixture(false);
    fixture.profile().deadline = 300ms;
    fixture.profile().enoughAfter = 300ms;
    // A received Hello counts as activity of the link, so the link is opened beforehand.
    fixture.run("{}");
    fixture.ranked(0).setHook(ignoreBatch);
    const auto hedged = fixture.run("{}");
    CHECK(hedged.outcome == Outcome::Done);
    CHECK(hedged.coverage->isComplete());
    CHECK(fixture.run("{}").coverage->isComplete());
    CHECK(fixture.ranked(0).batches().size() == 1);
    CHECK(fixture.ranked(1).batches().size() == 2);
}

// Guards against a query that waits for slow shards although its coverage suffices, and against an
// answer with low coverage where the profile refuses it.
TEST_CASE("with slow shards the query ends at enough_after, or is refused at the deadline")
{
    QueryFixture fixture(false);
    fixture.profile().enoughAfter = 50ms;
    fixture.ranked(0).setHook(answerAllButLast);
    fixture.ranked(1).setHook(ignoreBatch);
    const auto start = std::chrono::steady_clock::now();
    const auto enough = fixture.run("{}");
    CHECK(std::chrono::steady_clock::now() - start < 3s);
    CHECK(enough.outcome == Outcome::Done);
    CHECK(enough.coverage->fraction == doctest::Approx(0.75));
    CHECK(enough.coverage->missing == std::vector<std::string>{"s3"});

    fixture.profile().minCoverage = 0.9;
    fixture.profile().deadline = 150ms;
    fixture.profile().onLowCoverage = protocol::LowCoverage::Refuse;
    const auto low = fixture.run("{}");
    CHECK(low.outcome == Outcome::Unknown);
    CHECK(low.error == CallerError::Incomplete);
    CHECK(low.coverage->answered == 3);
}

// Guards against a payment whose late answer is lost, so that duplicates never receive its outcome.
TEST_CASE("a late answer of a non-repeatable request is passed to the handler")
{
    QueryFixture fixture(false);
    fixture.profile().repeatable = false;
    fixture.profile().scope = protocol::Scope::Key;
    fixture.profile().deadline = 100ms;
    std::promise<std::pair<Connection, Batch>> receivedBatch;
    fixture.ranked(0).setHook([&](const Connection &connection, const Batch &batch) {
        receivedBatch.set_value({connection, batch});
    });
    std::promise<protocol::QueryResponse> late;
    const auto answer = fixture.start("{}", [&](const auto &done) { late.set_value(done); }).get();
    CHECK(answer.outcome == Outcome::Unknown);
    CHECK(answer.error == CallerError::DeadlineExceeded);
    const auto [connection, batch] = receivedBatch.get_future().get();
    FakeDispatcher::answerAll(connection, batch);
    auto lateAnswer = late.get_future();
    REQUIRE(lateAnswer.wait_for(5s) == std::future_status::ready);
    CHECK(lateAnswer.get().outcome == Outcome::Done);
    CHECK(fixture.ranked(1).batches().empty());
}
