#include "protocol/protocol.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::protocol;

namespace {

std::string profileText(const std::string &changes)
{
    return R"({"group":"g","scope":"all","deadline_ms":100,"priority":"high","repeatable":true)"
           + changes + "}";
}

std::string indexText(const std::string &shards)
{
    return R"({"snapshots":[{"id":1,"shards":[)" + shards + "]}]}";
}

std::string faultPath(std::string_view key, const std::string &text)
{
    const auto result = parseConfigDocument(key, text);
    if (isOk(result))
        return "valid";
    CHECK(errorOf(result).key == key);
    CHECK_FALSE(errorOf(result).reason.empty());
    return errorOf(result).path;
}

} // namespace

// Guards against profiles that would break an invariant (a payment repeated or spread).
TEST_CASE("profiles are checked member by member")
{
    const auto parsed = parseConfigDocument("profile/x", profileText(""));
    REQUIRE(isOk(parsed));
    CHECK(std::get<Profile>(valueOf(parsed)).enoughAfter == std::chrono::milliseconds(100));
    CHECK(std::get<Profile>(valueOf(parsed)).extraLoad == 0.05);
    CHECK(faultPath("profile/x", profileText(R"(,"enough_after_ms":101)")) == "/enough_after_ms");
    CHECK(faultPath("profile/x", profileText(R"(,"min_coverage":1.01)")) == "/min_coverage");
    CHECK(faultPath("profile/x", profileText(R"(,"extra_load":0.6)")) == "/extra_load");
    CHECK(faultPath("profile/x", profileText(R"(,"priority":"urgent")")) == "/priority");
    CHECK(faultPath("profile/x", profileText(R"(,"min_covrage":1)")) == "/min_covrage");
    CHECK(faultPath("profile/x", profileText(R"(,"repeatable":false)")) == "/scope");
    CHECK(faultPath("profile/x", profileText(R"(,"deadline_ms":0)")) == "/deadline_ms");
    CHECK(faultPath("profile/x", R"({"group":"g","scope":"key","deadline_ms":1,"priority":"bulk"})")
          == "/repeatable");
}

// Guards against keys of the index that no shard or two shards answer, which makes coverage false.
TEST_CASE("an index covers the key space exactly once")
{
    const std::string left = R"({"id":"a","service":"s","from":0,"to":9})";
    const std::string right = R"({"id":"b","service":"s","from":9,"to":65536})";
    CHECK(faultPath("index/g", indexText(left + "," + right)) == "valid");
    CHECK(faultPath("index/g", indexText(right + "," + left)) == "valid");
    for (const auto &shards :
         {left, right, std::string(), left + "," + left, left + "," + right + "," + right,
          left + R"(,{"id":"b","service":"s","from":8,"to":65536})",
          left + R"(,{"id":"b","service":"s","from":10,"to":65536})",
          left + R"(,{"id":"a","service":"s","from":9,"to":65536})",
          left + R"(,{"id":"b","service":"s","from":9,"to":65537})",
          left + R"(,{"id":"b","service":"","from":9,"to":65536})"})
        CHECK(faultPath("index/g", indexText(shards)).starts_with("/snapshots/0/shards"));
    const std::string one = R"("shards":[{"id":"a","service":"s","from":0,"to":65536}]})";
    CHECK(faultPath("index/g", R"({"snapshots":[{"id":2,)" + one + R"(,{"id":2,)" + one + "]}")
          == "/snapshots/1/id");
    CHECK(faultPath("index/g", R"({"snapshots":[]})") == "/snapshots");
}

// Guards against a cold limit above what a warm server bears, and against malformed keys.
TEST_CASE("groups, lists and keys are checked")
{
    const std::string group = R"({"slots":2,"connections":25,"connection_cost_ms":6,"cold_limit":)";
    CHECK(faultPath("group/g", group + "2}") == "valid");
    CHECK(faultPath("group/g", group + "3}") == "/cold_limit");
    CHECK(faultPath("out/hosts", R"(["h1","h2"])") == "valid");
    CHECK(faultPath("out/hosts", R"(["h1",""])") == "/1");
    CHECK(faultPath("out/domains", R"({})").empty());
    for (const auto *key : {"", "profile", "profile/", "profile/a/b", "group/a b", "out/other"})
        CHECK_FALSE(isOk(parseConfigDocument(key, "[]")));
    CHECK_FALSE(isOk(parseConfigDocument("out/hosts", "[]" + std::string(1024U * 1024U, ' '))));
}

// Guards against a value that changes when an agent writes it for another reader.
TEST_CASE("documents survive formatting and parsing")
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
