#include "ctl/ctl.h"

#include <doctest/doctest.h>

using namespace persimmon::ctl;

namespace {

constexpr const char *ValidGroup =
        R"({"slots":2,"connections":25,"connection_cost_ms":6,"cold_limit":1})";
constexpr const char *ValidIndex =
        R"({"snapshots":[{"id":1,"shards":[{"id":"a","service":"s","from":0,"to":65536}]}]})";

std::string makeProfile(const std::string &group)
{
    return R"({"scope":"all","deadline_ms":9,"priority":"bulk","repeatable":true,"group":")" + group
           + "\"}";
}

/// @return a configuration whose only profile refers to @p group; only the group "g" exists.
std::string makeConfiguration(const std::string &group)
{
    return R"({"profile/p":)" + makeProfile(group) + R"(,"group/g":)" + ValidGroup
           + R"(,"index/g":)" + ValidIndex + R"(,"out/hosts":["h1"]})";
}

} // namespace

// Guards against a configuration whose values are valid one by one, but whose profiles refer to a
// group or index that does not exist, so that no query can be planned.
TEST_CASE("a reference to a missing key is a fault of the configuration")
{
    CHECK(checkConfiguration(makeConfiguration("g")).empty());
    const auto dangling = checkConfiguration(makeConfiguration("other"));
    REQUIRE(dangling.size() == 1);
    CHECK(dangling[0].key == "profile/p");
    CHECK(dangling[0].path == "/group");
    CHECK(dangling[0].value == "\"other\"");
    const auto withoutIndex = checkConfiguration(std::string(R"({"group/g":)") + ValidGroup + "}");
    REQUIRE(withoutIndex.size() == 1);
    CHECK(withoutIndex[0].reason == "the group has no index, the key index/g does not exist");
}

// Guards against a check that stops at the first fault or accepts a malformed file.
TEST_CASE("all faults of a configuration are reported with path, value and reason")
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

// Guards against terminal control sequences in values of a remote process, and against a table that
// omits members that only some rows have.
TEST_CASE("JSON is formatted as text with tables and escaped control characters")
{
    const auto value = boost::json::parse(
            R"({"name":"x","rows":[{"a":"long","b":1},{"a":"s","c":true}],"list":["\u001b[2J"]})");
    CHECK(formatText(value)
          == "name: x\nrows:\n  a     b  c\n  long  1  -\n  s     -  true\nlist:\n"
             "  \"\\u001b[2J\"\n");
}
