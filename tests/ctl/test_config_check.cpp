#include "ctl/ctl.h"

#include <doctest/doctest.h>

using namespace persimmon::ctl;

namespace {

constexpr const char *Group =
        R"({"slots":2,"connections":25,"connection_cost_ms":6,"cold_limit":1})";
constexpr const char *Index =
        R"({"snapshots":[{"id":1,"shards":[{"id":"a","service":"s","from":0,"to":65536}]}]})";

std::string profile(const std::string &group)
{
    return R"({"scope":"all","deadline_ms":9,"priority":"bulk","repeatable":true,"group":")" + group
           + "\"}";
}

std::string configuration(const std::string &group)
{
    return R"({"profile/p":)" + profile(group) + R"(,"group/g":)" + Group + R"(,"index/g":)" + Index
           + R"(,"out/hosts":["h1"]})";
}

} // namespace

// Guards against references that every single value passes but no query could be planned on.
TEST_CASE("references between the values of a configuration are checked")
{
    CHECK(checkConfiguration(configuration("g")).empty());
    const auto dangling = checkConfiguration(configuration("other"));
    REQUIRE(dangling.size() == 1);
    CHECK(dangling[0].key == "profile/p");
    CHECK(dangling[0].path == "/group");
    CHECK(dangling[0].value == "\"other\"");
    const auto bare = checkConfiguration(std::string(R"({"group/g":)") + Group + "}");
    REQUIRE(bare.size() == 1);
    CHECK(bare[0].reason == "the group has no index, the key index/g does not exist");
}

// Guards against a check that stops at the first fault or treats a broken file as valid.
TEST_CASE("all faults are reported with path, value and reason")
{
    const auto faults = checkConfiguration(
            R"({"out/hosts":["a b"],"group/g":{"slots":0},"nonsense":1,"index/g":{}})");
    REQUIRE(faults.size() == 4);
    CHECK(faults[0].key == "group/g");
    CHECK(faults[3].path == "/0");
    CHECK(faults[3].value == "\"a b\"");
    for (const auto *text : {"", "[]", "{", "1"})
        CHECK(checkConfiguration(text).size() == 1);
    CHECK(checkConfigFile("/nonexistent/file", false).status == ExitStatus::Failed);
}

// Guards against terminal control sequences from a remote process, and against rows of a table
// that drop members which other rows lack.
TEST_CASE("JSON is rendered for people")
{
    const auto value = boost::json::parse(
            R"({"name":"x","rows":[{"a":"long","b":1},{"a":"s","c":true}],"list":["\u001b[2J"]})");
    CHECK(renderText(value)
          == "name: x\nrows:\n  a     b  c\n  long  1  -\n  s     -  true\nlist:\n"
             "  \"\\u001b[2J\"\n");
}
