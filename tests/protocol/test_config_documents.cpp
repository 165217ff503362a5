#include "protocol/protocol.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::protocol;

namespace {

std::string profileText(const std::string &extraMembers)
{
    return R"({"group":"g","scope":"all","deadline_ms":100,"priority":"high","repeatable":true)"
           + extraMembers + "}";
}

std::string indexText(const std::string &shards)
{
    return R"({"snapshots":[{"id":1,"shards":[)" + shards + "]}]}";
}

std::string errorPath(std::string_view key, const std::string &text)
{
    const auto result = parseConfigDocument(key, text);
    if (isOk(result))
        return "valid";
    CHECK(errorOf(result).key == key);
    CHECK_FALSE(errorOf(result).reason.empty());
    return errorOf(result).path;
}

} // namespace

// Guards against profiles that would violate an invariant: a payment must be neither repeated nor
// sent to several shards.
TEST_CASE("each member of a profile is validated")
{
    const auto parsed = parseConfigDocument("profile/x", profileText(""));
    REQUIRE(isOk(parsed));
    CHECK(std::get<Profile>(valueOf(parsed)).enoughAfter == std::chrono::milliseconds(100));
    CHECK(std::get<Profile>(valueOf(parsed)).extraLoad == 0.05);
    CHECK(errorPath("profile/x", profileText(R"(,"enough_after_ms":101)")) == "/enough_after_ms");
    CHECK(errorPath("profile/x", profileText(R"(,"min_coverage":1.01)")) == "/min_coverage");
    CHECK(errorPath("profile/x", profileText(R"(,"extra_load":0.6)")) == "/extra_load");
    CHECK(errorPath("profile/x", profileText(R"(,"priority":"urgent")")) == "/priority");
    CHECK(errorPath("profile/x", profileText(R"(,"min_covrage":1)")) == "/min_covrage");
    CHECK(errorPath("profile/x", profileText(R"(,"repeatable":false)")) == "/scope");
    CHECK(errorPath("profile/x", profileText(R"(,"deadline_ms":0)")) == "/deadline_ms");
    CHECK(errorPath("profile/x", R"({"group":"g","scope":"key","deadline_ms":1,"priority":"bulk"})")
          == "/repeatable");
}

// Guards against keys that belong to no shard or to two shards, which makes the reported coverage
// wrong.
TEST_CASE("the shards of a snapshot must cover the key space without gap or overlap")
{
    const std::string left = R"({"id":"a","service":"s","from":0,"to":9})";
    const std::string right = R"({"id":"b","service":"s","from":9,"to":65536})";
    CHECK(errorPath("index/g", indexText(left + "," + right)) == "valid");
    CHECK(errorPath("index/g", indexText(right + "," + left)) == "valid");
    for (const auto &shards :
         {left, right, std::string(), left + "," + left, left + "," + right + "," + right,
          left + R"(,{"id":"b","service":"s","from":8,"to":65536})",
          left + R"(,{"id":"b","service":"s","from":10,"to":65536})",
          left + R"(,{"id":"a","service":"s","from":9,"to":65536})",
          left + R"(,{"id":"b","service":"s","from":9,"to":65537})",
          left + R"(,{"id":"b","service":"","from":9,"to":65536})"})
        CHECK(errorPath("index/g", indexText(shards)).starts_with("/snapshots/0/shards"));
    const std::string fullRange = R"("shards":[{"id":"a","service":"s","from":0,"to":65536}]})";
    CHECK(errorPath("index/g",
                    R"({"snapshots":[{"id":2,)" + fullRange + R"(,{"id":2,)" + fullRange + "]}")
          == "/snapshots/1/id");
    CHECK(errorPath("index/g", R"({"snapshots":[]})") == "/snapshots");
}

// Guards against a cold limit above the number of slots of a warm upstream, and against malformed
// keys.
TEST_CASE("group settings, out-of-service lists and keys are validated")
{
    const std::string group = R"({"slots":2,"connections":25,"connection_cost_ms":6,"cold_limit":)";
    CHECK(errorPath("group/g", group + "2}") == "valid");
    CHECK(errorPath("group/g", group + "3}") == "/cold_limit");
    CHECK(errorPath("out/hosts", R"(["h1","h2"])") == "valid");
    CHECK(errorPath("out/hosts", R"(["h1",""])") == "/1");
    CHECK(errorPath("out/domains", R"({})").empty());
    for (const auto *key : {"", "profile", "profile/", "profile/a/b", "group/a b", "out/other"})
        CHECK_FALSE(isOk(parseConfigDocument(key, "[]")));
    CHECK_FALSE(isOk(parseConfigDocument("out/hosts", "[]" + std::string(1024U * 1024U, ' '))));
}

// Guards against a value that changes when an agent formats it for another process.
TEST_CASE("configuration documents are preserved by formatting and parsing")
{
    CHECK(rc::check([] {
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 1025);
        const ConfigDocument group =
                GroupSettings{slots, *rc::gen::inRange<std::uint32_t>(1, 1000),
                              std::chrono::milliseconds(*rc::gen::inRange(0, 60'001)),
                              *rc::gen::inRange<std::uint32_t>(1, slots + 1)};
        RC_ASSERT(valueOf(parseConfigDocument("group/g", formatConfigDocument(group))) == group);
        const auto middle = *rc::gen::inRange<std::uint32_t>(1, KeySpaceSize);
        const auto id = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const ConfigDocument index =
                GroupIndex{{{id, {{"a", "s", 0, middle}, {"b", "t", middle, KeySpaceSize}}}}};
        RC_ASSERT(valueOf(parseConfigDocument("index/g", formatConfigDocument(index))) == index);
        Profile profile{"g", Scope::Key, *rc::gen::inRange(0, 1001) / 1000.0};
        profile.extraLoad = *rc::gen::inRange(0, 501) / 1000.0;
        profile.repeatable = *rc::gen::arbitrary<bool>();
        const ConfigDocument document = profile;
        RC_ASSERT(valueOf(parseConfigDocument("profile/p", formatConfigDocument(document)))
                  == document);
        const ConfigDocument out = OutOfService{{"h1", "h2"}};
        RC_ASSERT(valueOf(parseConfigDocument("out/hosts", formatConfigDocument(out))) == out);
    }));
}
