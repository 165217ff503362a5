#include "tests/system/cluster.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <sys/wait.h>

using namespace persimmon::tests;

namespace {

/// Runs persimmonctl and discards its output.
/// @return exit status; -1 if it did not exit normally.
int runCtl(const std::string &arguments)
{
    const auto command =
            std::string(PERSIMMON_BINARY_DIR) + "/persimmonctl " + arguments + " >/dev/null 2>&1";
    const int status = std::system(command.c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace

// Guards against commands that do not match the admin methods of the daemons.
TEST_CASE("every command of persimmonctl works against every daemon")
{
    Cluster cluster;
    const auto entry = " --entry " + cluster.entryAddress(1);
    CHECK(runCtl("locate --json" + entry) == 0);
    CHECK(runCtl("query --profile live-scoresheet --query '{\"op\":\"search\"}'" + entry) == 0);
    CHECK(runCtl("query --profile missing --query '{}'" + entry) == 1);
    for (const auto *port : {":7101", ":7201", ":7301"}) {
        const auto admin = " --admin " + cluster.ip(1) + port;
        for (const auto *command : {"status", "config show", "owners", "audit"}) {
            CHECK(runCtl(command + admin) == 0);
            CHECK(runCtl(std::string(command) + " --json" + admin) == 0);
        }
        const auto metrics = cluster.httpClient().send(cluster.ip(1) + port, "GET", "/metrics");
        REQUIRE(metrics.has_value());
        CHECK(metrics->status == 200);
    }
    const auto folder = std::string(PERSIMMON_SOURCE_DIR) + "/misc/deployments/";
    CHECK(runCtl("config check " + folder + "bantay-kawan/config.json") == 0);
    CHECK(runCtl("config check " + folder + "footlights/config.json") == 0);
    CHECK(runCtl("config check /dev/null") == 1);
    CHECK(runCtl("unknown") == 2);
}
