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

/// Answers all shards but the last one.
void answerThree(const Connection &connection, const Batch &batch)
{
    for (const auto &sub : batch.subRequests) {
        if (sub.shard != "s3")
            FakeDispatcher::send(connection, FakeDispatcher::makeResult(batch, sub.shard));
    }
}

} // namespace

// Guards against shards that are sent beside an unanswered canary, and a canary for a known query.
TEST_CASE("the other shards of an unseen query wait for the canary")
{
    QueryFixture fixture(true);
    auto &owner = fixture.ranked(0);
    std::atomic<std::size_t> heldWith = 0;
    owner.setHook([&](const Connection &connection, const Batch &batch) {
        if (batch.canary) {
            std::this_thread::sleep_for(10ms);
            heldWith = owner.batches().size();
        }
        FakeDispatcher::answerAll(connection, batch);
    });
    const auto answer = fixture.run("{}");
    CHECK(answer.coverage->isComplete());
    CHECK(heldWith == 1);
    REQUIRE(owner.batches().size() == 2);
    CHECK(owner.batches()[0].subRequests.size() == 1);
    CHECK(fixture.run("{}").coverage->isComplete());
    REQUIRE(owner.batches().size() == 3);
    CHECK_FALSE(owner.batches()[2].canary);
}

// Guards against a quarantined query that is sent to further shards, or reported as run.
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

// Guards against an answer that mixes the given-up snapshot with the one planned after it.
TEST_CASE("a missing snapshot plans the whole query again on another one")
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

// Guards against shards that are given up with the connection to their dispatcher.
TEST_CASE("shards of a lost link go to the next dispatcher, non-repeatable ones do not")
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

// Guards against a silent dispatcher that costs shards, and one that keeps getting new work.
TEST_CASE("shards of a silent dispatcher are hedged and new queries avoid it")
{
    QueryFixture fixture(false);
    fixture.profile().deadline = 300ms;
    fixture.profile().enoughAfter = 300ms;
    // The Hello of a new connection is a sign of life, so the link is opened first.
    fixture.run("{}");
    fixture.ranked(0).setHook(ignoreBatch);
    const auto hedged = fixture.run("{}");
    CHECK(hedged.outcome == Outcome::Done);
    CHECK(hedged.coverage->isComplete());
    CHECK(fixture.run("{}").coverage->isComplete());
    CHECK(fixture.ranked(0).batches().size() == 1);
    CHECK(fixture.ranked(1).batches().size() == 2);
}

// Guards against a query that waits for stragglers when enough has arrived, and against an answer
// with too little where the profile refuses it.
TEST_CASE("stragglers end the query at enough_after, or refuse it at the deadline")
{
    QueryFixture fixture(false);
    fixture.profile().enoughAfter = 50ms;
    fixture.ranked(0).setHook(answerThree);
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

// Guards against a payment whose late answer is lost, so that duplicates never learn the outcome.
TEST_CASE("a late answer of a non-repeatable request is handed on")
{
    QueryFixture fixture(false);
    fixture.profile().repeatable = false;
    fixture.profile().scope = protocol::Scope::Key;
    fixture.profile().deadline = 100ms;
    std::promise<std::pair<Connection, Batch>> asked;
    fixture.ranked(0).setHook([&](const Connection &connection, const Batch &batch) {
        asked.set_value({connection, batch});
    });
    std::promise<protocol::QueryAnswer> late;
    const auto answer = fixture.start("{}", [&](const auto &done) { late.set_value(done); }).get();
    CHECK(answer.outcome == Outcome::Unknown);
    CHECK(answer.error == CallerError::DeadlineExceeded);
    const auto [connection, batch] = asked.get_future().get();
    FakeDispatcher::answerAll(connection, batch);
    auto handed = late.get_future();
    REQUIRE(handed.wait_for(5s) == std::future_status::ready);
    CHECK(handed.get().outcome == Outcome::Done);
    CHECK(fixture.ranked(1).batches().empty());
}
