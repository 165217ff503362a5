#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::milliseconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};

SubReply makePart()
{
    SubReply reply;
    reply.outcome = protocol::SubOutcome::Done;
    reply.answer = std::make_shared<const protocol::ForwardedAnswer>();
    return reply;
}

SubReply makeFailure(protocol::SubOutcome outcome)
{
    SubReply reply;
    reply.outcome = outcome;
    return reply;
}

GatherPolicy makePolicy(std::size_t shards, double leastFraction)
{
    return {shards, leastFraction, Start + milliseconds(100), Start + milliseconds(800)};
}

std::string randomBytes(std::mt19937 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    // Few values, so that equal records and equal prefixes are common.
    for (auto &byte : bytes)
        byte = static_cast<char>(random() % 3 == 0 ? 0xff : random() % 2);
    return bytes;
}

/// The naive merge: sorts all records as unsigned bytes.
std::string mergeNaively(const std::vector<std::string> &parts, std::size_t count)
{
    std::vector<std::vector<unsigned char>> records;
    for (const auto &part : parts) {
        for (std::size_t at = 0; at + 16 <= part.size(); at += 16)
            records.emplace_back(part.begin() + static_cast<std::ptrdiff_t>(at),
                                 part.begin() + static_cast<std::ptrdiff_t>(at) + 16);
    }
    std::sort(records.rbegin(), records.rend());
    std::string merged;
    for (std::size_t i = 0; i < std::min(count, records.size()); ++i)
        merged.append(records[i].begin(), records[i].end());
    return merged;
}

} // namespace

TEST_CASE("the merge equals a naive sort of all records")
{
    // Guards against signed comparison, lost duplicates and records made of a remainder.
    std::mt19937 random(11);
    for (int schedule = 0; schedule < 10'000; ++schedule) {
        std::vector<std::string> parts(1 + random() % 5);
        for (auto &part : parts)
            part = randomBytes(random, random() % 100);
        const std::size_t count = random() % 8;
        CHECK(mergeTopRecords({parts.begin(), parts.end()}, count) == mergeNaively(parts, count));
    }
}

TEST_CASE("the least number of shards is not moved by rounding")
{
    CHECK(leastShards(20, 0.85) == 17);
    CHECK(leastShards(20, 0.89) == 18);
    CHECK(leastShards(20, 0.75) == 15);
    CHECK(leastShards(100, 0.29) == 29);
    CHECK(leastShards(3, 0) == 1);
}

TEST_CASE("a pausing shard is left out when the objective is near")
{
    // Load pattern: one shard of 20 pauses beyond the objective. Guards against an answer that
    // waits for it, and against one that leaves it out although there was time.
    GatherRun run(makePolicy(20, 0.89));
    for (std::size_t i = 0; i < 19; ++i)
        run.onReply(i, makePart(), Start + milliseconds(30));
    CHECK(run.verdict() == GatherVerdict::Waiting);
    CHECK(run.nextDue() == Start + milliseconds(100));
    run.onTime(Start + milliseconds(99));
    CHECK(run.verdict() == GatherVerdict::Waiting);
    run.onTime(Start + milliseconds(100));
    CHECK(run.verdict() == GatherVerdict::Partial);
    CHECK(run.partCount() == 19);
}

TEST_CASE("a late answer goes out as soon as enough parts are in")
{
    // Guards against a caller who waits until its deadline for shards that do not come.
    GatherRun run(makePolicy(20, 0.89));
    for (std::size_t i = 0; i < 17; ++i)
        run.onReply(i, makePart(), Start + milliseconds(30));
    run.onTime(Start + milliseconds(100));
    CHECK(run.verdict() == GatherVerdict::Waiting);
    CHECK(run.nextDue() == Start + milliseconds(800));
    run.onReply(18, makePart(), Start + milliseconds(180));
    CHECK(run.verdict() == GatherVerdict::Partial);
}

TEST_CASE("a request that cannot reach its least share ends at once and truthfully")
{
    // Guards against a refusal that says nothing ran although a shard may have executed.
    GatherRun refused(makePolicy(4, 0.75));
    refused.onReply(0, makeFailure(protocol::SubOutcome::NotRun), Start);
    CHECK(refused.verdict() == GatherVerdict::Waiting);
    refused.onReply(1, makeFailure(protocol::SubOutcome::NotRun), Start);
    CHECK(refused.verdict() == GatherVerdict::Refused);
    GatherRun failed(makePolicy(4, 0.75));
    failed.onReply(0, makePart(), Start);
    failed.onReply(1, makeFailure(protocol::SubOutcome::NotRun), Start);
    failed.onReply(2, makeFailure(protocol::SubOutcome::NotRun), Start);
    CHECK(failed.verdict() == GatherVerdict::Failed);
    GatherRun unknown(makePolicy(2, 1));
    unknown.onReply(0, makeFailure(protocol::SubOutcome::Unknown), Start);
    CHECK(unknown.verdict() == GatherVerdict::Failed);
    GatherRun silent(makePolicy(2, 1));
    silent.onTime(Start + milliseconds(800));
    CHECK(silent.verdict() == GatherVerdict::Failed);
}

TEST_CASE("random replies give one verdict that agrees with a naive count")
{
    // Guards against a verdict that changes, comes twice, or counts parts wrongly.
    std::mt19937 random(3);
    for (int schedule = 0; schedule < 10'000; ++schedule) {
        const std::size_t shards = 1 + random() % 6;
        const double least = static_cast<double>(random() % 101) / 100;
        GatherRun run(makePolicy(shards, least));
        std::size_t parts = 0;
        std::size_t failures = 0;
        auto now = Start;
        for (std::size_t i = 0; i < shards && run.verdict() == GatherVerdict::Waiting; ++i) {
            now += milliseconds(random() % 60);
            run.onTime(now);
            if (run.verdict() != GatherVerdict::Waiting)
                break;
            const bool part = random() % 3 != 0;
            parts += part ? 1 : 0;
            failures += part ? 0 : 1;
            run.onReply(i, part ? makePart() : makeFailure(protocol::SubOutcome::Unknown), now);
        }
        CHECK(run.partCount() == parts);
        const auto needed = leastShards(shards, least);
        switch (run.verdict()) {
        case GatherVerdict::Complete:
            CHECK(parts == shards);
            break;
        case GatherVerdict::Partial:
            CHECK((parts >= needed && parts < shards));
            break;
        case GatherVerdict::Failed:
            CHECK((shards - failures < needed || now >= Start + milliseconds(800)));
            break;
        default:
            CHECK(parts + failures < shards);
        }
    }
}
