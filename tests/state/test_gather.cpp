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
    reply.answer = std::make_shared<const protocol::ForwardedResponse>();
    return reply;
}

SubReply makeFailure(protocol::SubOutcome outcome)
{
    SubReply reply;
    reply.outcome = outcome;
    return reply;
}

GatherPolicy makePolicy(std::size_t shards, double minFraction)
{
    return {shards, minFraction, Start + milliseconds(100), Start + milliseconds(800)};
}

std::string randomBytes(std::mt19937 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    // Few distinct values, so that equal records and equal prefixes are frequent.
    for (auto &byte : bytes)
        byte = static_cast<char>(random() % 3 == 0 ? 0xff : random() % 2);
    return bytes;
}

/// Reference merge: sorts all records as unsigned bytes.
std::string mergeBySorting(const std::vector<std::string> &parts, std::size_t count)
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

TEST_CASE("the merge equals a full sort of all records")
{
    // Guards against signed comparison, lost duplicates and records from a partial remainder.
    std::mt19937 random(11);
    for (int schedule = 0; schedule < 10'000; ++schedule) {
        std::vector<std::string> parts(1 + random() % 5);
        for (auto &part : parts)
            part = randomBytes(random, random() % 100);
        const std::size_t count = random() % 8;
        CHECK(mergeTopRecords({parts.begin(), parts.end()}, count) == mergeBySorting(parts, count));
    }
}

TEST_CASE("rounding does not change the minimum number of shards")
{
    CHECK(minShardCount(20, 0.85) == 17);
    CHECK(minShardCount(20, 0.89) == 18);
    CHECK(minShardCount(20, 0.75) == 15);
    CHECK(minShardCount(100, 0.29) == 29);
    CHECK(minShardCount(3, 0) == 1);
}

TEST_CASE("a paused shard is left out when the latency objective is due")
{
    // One shard of 20 pauses beyond the latency objective. Guards against an answer that waits for
    // it, and against one that leaves it out before the objective is due.
    GatherRun run(makePolicy(20, 0.89));
    for (std::size_t i = 0; i < 19; ++i)
        run.onReply(i, makePart(), Start + milliseconds(30));
    CHECK(run.outcome() == GatherOutcome::Waiting);
    CHECK(run.nextTimeout() == Start + milliseconds(100));
    run.onTimer(Start + milliseconds(99));
    CHECK(run.outcome() == GatherOutcome::Waiting);
    run.onTimer(Start + milliseconds(100));
    CHECK(run.outcome() == GatherOutcome::Partial);
    CHECK(run.partCount() == 19);
}

TEST_CASE("after the latency objective the answer is sent once enough parts are received")
{
    // Guards against a caller that waits until its deadline for missing shards.
    GatherRun run(makePolicy(20, 0.89));
    for (std::size_t i = 0; i < 17; ++i)
        run.onReply(i, makePart(), Start + milliseconds(30));
    run.onTimer(Start + milliseconds(100));
    CHECK(run.outcome() == GatherOutcome::Waiting);
    CHECK(run.nextTimeout() == Start + milliseconds(800));
    run.onReply(18, makePart(), Start + milliseconds(180));
    CHECK(run.outcome() == GatherOutcome::Partial);
}

TEST_CASE("a request that cannot reach its minimum fraction ends at once with the correct outcome")
{
    // Guards against a rejection that reports no execution although a shard may have executed.
    GatherRun refused(makePolicy(4, 0.75));
    refused.onReply(0, makeFailure(protocol::SubOutcome::NotRun), Start);
    CHECK(refused.outcome() == GatherOutcome::Waiting);
    refused.onReply(1, makeFailure(protocol::SubOutcome::NotRun), Start);
    CHECK(refused.outcome() == GatherOutcome::Refused);
    GatherRun failed(makePolicy(4, 0.75));
    failed.onReply(0, makePart(), Start);
    failed.onReply(1, makeFailure(protocol::SubOutcome::NotRun), Start);
    failed.onReply(2, makeFailure(protocol::SubOutcome::NotRun), Start);
    CHECK(failed.outcome() == GatherOutcome::Failed);
    GatherRun unknown(makePolicy(2, 1));
    unknown.onReply(0, makeFailure(protocol::SubOutcome::Unknown), Start);
    CHECK(unknown.outcome() == GatherOutcome::Failed);
    GatherRun silent(makePolicy(2, 1));
    silent.onTimer(Start + milliseconds(800));
    CHECK(silent.outcome() == GatherOutcome::Failed);
}

TEST_CASE("random replies produce one outcome that matches a direct count")
{
    // Guards against an outcome that changes, is reported twice, or counts parts wrongly.
    std::mt19937 random(3);
    for (int schedule = 0; schedule < 10'000; ++schedule) {
        const std::size_t shards = 1 + random() % 6;
        const double minFraction = static_cast<double>(random() % 101) / 100;
        GatherRun run(makePolicy(shards, minFraction));
        std::size_t parts = 0;
        std::size_t failures = 0;
        auto now = Start;
        for (std::size_t i = 0; i < shards && run.outcome() == GatherOutcome::Waiting; ++i) {
            now += milliseconds(random() % 60);
            run.onTimer(now);
            if (run.outcome() != GatherOutcome::Waiting)
                break;
            const bool part = random() % 3 != 0;
            parts += part ? 1 : 0;
            failures += part ? 0 : 1;
            run.onReply(i, part ? makePart() : makeFailure(protocol::SubOutcome::Unknown), now);
        }
        CHECK(run.partCount() == parts);
        const auto needed = minShardCount(shards, minFraction);
        switch (run.outcome()) {
        case GatherOutcome::Complete:
            CHECK(parts == shards);
            break;
        case GatherOutcome::Partial:
            CHECK((parts >= needed && parts < shards));
            break;
        case GatherOutcome::Failed:
            CHECK((shards - failures < needed || now >= Start + milliseconds(800)));
            break;
        default:
            CHECK(parts + failures < shards);
        }
    }
}
