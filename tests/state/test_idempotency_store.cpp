#include "state/idempotency_store.h"
#include "state/request_id.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace persimmon;
using namespace persimmon::state;
using protocol::Outcome;
using protocol::QueryResponse;

namespace {

constexpr int Schedules = 10'000;
constexpr std::uint32_t Seed = 20261205;

QueryResponse makeAnswer(Outcome outcome)
{
    QueryResponse answer;
    answer.outcome = outcome;
    return answer;
}

using Key = std::pair<std::uint64_t, std::string>;

/// Reference model that keeps every id and determines expiry by comparing epochs.
struct ModelStore
{
    std::map<Key, std::optional<Outcome>> records;

    Admission begin(const Key &key, std::uint64_t current, std::size_t capacity, bool refuse)
    {
        if (key.first > current)
            return Admission::Future;
        if (key.first + PreviousEpochs < current)
            return Admission::Expired;
        if (const auto found = records.find(key); found != records.end())
            return found->second ? Admission::Replay : Admission::Join;
        if (count(current) >= capacity)
            return Admission::Full;
        if (refuse) {
            records.emplace(key, Outcome::NotRun);
            return Admission::Refused;
        }
        records.emplace(key, std::nullopt);
        return Admission::Start;
    }

    std::size_t count(std::uint64_t current) const
    {
        std::size_t kept = 0;
        for (const auto &[key, outcome] : records)
            kept += key.first + PreviousEpochs >= current ? 1 : 0;
        return kept;
    }

    void finish(const Key &key, Outcome outcome)
    {
        auto &record = records.at(key);
        if (!record || (record == Outcome::Unknown && outcome == Outcome::Done))
            record = outcome;
    }
};

/// Runs random operations on the store and on the reference model, and compares the results.
struct Trial
{
    static constexpr std::size_t Capacity = 12;

    std::mt19937 random;
    std::unique_ptr<IdempotencyStore> store = std::make_unique<IdempotencyStore>(Capacity);
    ModelStore model = {};
    std::uint64_t incarnation = 1;
    std::uint64_t current = 0;
    std::set<std::pair<std::uint64_t, Key>> started = {};
    std::set<Key> ran = {};
    std::size_t joined = 0;
    std::size_t answered = 0;

    Key randomKey()
    {
        const auto epoch = current + 1 - std::min<std::uint64_t>(current + 1, random() % 5);
        return {epoch, "u" + std::to_string(random() % 6)};
    }

    void begin(const Key &key)
    {
        const bool refuse = random() % 3 == 0;
        const auto refusal = refuse ? std::optional(makeAnswer(Outcome::NotRun))
                                    : std::optional<QueryResponse>();
        const auto result = store->begin(
                key.first, key.second, current, [this](const QueryResponse &) { ++answered; },
                refusal);
        REQUIRE(result.admission == model.begin(key, current, Capacity, refuse));
        // A refused id must never start afterwards.
        if (result.admission == Admission::Start || result.admission == Admission::Refused)
            REQUIRE(started.emplace(incarnation, key).second);
        joined += result.admission == Admission::Join ? 1 : 0;
        if (result.admission == Admission::Replay) {
            REQUIRE(result.answer.outcome == model.records.at(key));
            REQUIRE_FALSE((result.answer.outcome == Outcome::NotRun && ran.contains(key)));
        }
    }

    void finish(const Key &key)
    {
        if (!model.records.contains(key))
            return;
        const bool first = !model.records.at(key).has_value();
        auto outcome = first ? static_cast<Outcome>(random() % 3) : Outcome::Done;
        if (!first && model.records.at(key) == Outcome::NotRun)
            return;
        if (outcome != Outcome::NotRun)
            ran.insert(key);
        model.finish(key, outcome);
        store->finish(key.first, key.second, makeAnswer(outcome));
    }

    void restart()
    {
        store = std::make_unique<IdempotencyStore>(Capacity);
        model = {};
        ran.clear();
        ++incarnation;
        current = 0;
        joined = 0;
        answered = 0;
    }

    void step()
    {
        const auto choice = random() % 20;
        if (choice == 0)
            restart();
        else if (choice < 3)
            store->advance(++current);
        else if (choice < 12)
            begin(randomKey());
        else
            finish(randomKey());
        REQUIRE(store->size() == model.count(current));
        REQUIRE(answered <= joined);
    }
};

} // namespace

// Guards against a second start of one id, a start after a refusal, "not run" for an id that ran,
// records that are kept after their epoch, and duplicates that are never answered.
TEST_CASE("the idempotency store agrees with a reference model on random schedules")
{
    std::printf("idempotency store: %d schedules, seed %u\n", Schedules, Seed);
    for (std::uint32_t i = 0; i < Schedules; ++i) {
        CAPTURE(i);
        Trial trial{std::mt19937(Seed + i)};
        for (int event = 0; event < 60; ++event)
            trial.step();
        trial.current += PreviousEpochs + 2;
        trial.store->advance(trial.current);
        REQUIRE(trial.answered == trial.joined);
        REQUIRE(trial.store->size() == 0);
    }
}

// Guards against two accepted forms of one id, which would cause two records and two executions.
TEST_CASE("a request id has exactly one accepted form")
{
    const auto id = parseRequestId("rack.h3.4fa1.12:fee_9-A");
    REQUIRE(id);
    CHECK(*id == RequestId{{"rack.h3", 0x4fa1, 12}, "fee_9-A"});
    for (const auto *text : {"", "h3.4fa1.12", "h3.4fa1.12:", "h3.4FA1.12:a", "h3.04fa1.12:a",
                             "h3.4fa1.+12:a", ".4fa1.12:a", "h3.12:a", "h3.4fa1.12:a b"})
        CHECK_FALSE(parseRequestId(text));
}
