#include "platform/platform.h"

#include <doctest/doctest.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

const std::string Valid = R"(
node_name: "h1"
zone: "z1"
region: "r1"
zones: {z1: "r1", z2: "r2"}
future_field: [1, 2]
heartbeat_ms: 2000
listen_addrs:
  front: "127.0.0.1:8104"
  ready_addr: "127.0.0.1:8108"
  control: "127.0.0.1:8106"
  directory: "127.0.0.1:8100"
seed_nodes: ["127.0.0.1:8106"]
bounds:
  contact_ms: 4000
  retry_ratio: 0.2
  retry_burst: 52
  cold_excess: 1.5
  cold_slack: 5
  grace_s: 6
  ttl_max_s: 5
platform:
  address: "127.0.0.1:9000"
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string errorMessageOf(const std::string &text)
{
    const auto parsed = parseSettings(text);
    return isOk(parsed) ? "" : errorOf(parsed).message;
}

} // namespace

TEST_CASE("settings are parsed into options")
{
    const auto parsed = parseSettings(Valid);
    REQUIRE(isOk(parsed));
    const auto &host = valueOf(parsed).host;
    CHECK(host.name == "h1");
    CHECK(host.failureDomain == "z1");
    CHECK(host.regionByFailureDomain.at("z2") == "r2");
    CHECK(host.limits.retryBurst == 52);
    CHECK(host.retryRatio <= 0.2);
    CHECK(host.gracePeriod == std::chrono::seconds(6));
    CHECK(host.directoryTtl == std::chrono::seconds(5));
    // With this contact time, the directory may list a dead host for up to 7 s.
    CHECK(host.remoteHeartbeatTimeout <= std::chrono::seconds(6));
    CHECK(host.remoteHeartbeatTimeout > state::EntryMembership::HeartbeatTimeout);
    // Registrations of dead upstreams expire after three heartbeat intervals, those of live ones
    // only in an outage of two.
    CHECK(host.toleratedGap == std::chrono::seconds(4));
    CHECK(host.reconcileTime > std::chrono::seconds(6));
    CHECK(host.seeds.size() == 1);
    CHECK(valueOf(parsed).storeAddress == "127.0.0.1:9000");
}

TEST_CASE("an invalid setting is rejected with its path and value")
{
    // Guards against a program that starts with defaults in place of the configured values.
    CHECK(errorMessageOf(replaced(Valid, "node_name: \"h1\"", "")) == "node_name is missing");
    CHECK(errorMessageOf(replaced(Valid, "127.0.0.1:8104", "front"))
          == "listen_addrs.front must be IP:port, is 'front'");
    CHECK(errorMessageOf(replaced(Valid, "retry_ratio: 0.2", "retry_ratio: much"))
          == "bounds.retry_ratio has the wrong type");
    CHECK(errorMessageOf(replaced(Valid, "zones: {z1: \"r1\", z2: \"r2\"}", "zones: 3"))
          == "zones has the wrong type");
    CHECK(errorMessageOf(replaced(Valid, "  address: \"127.0.0.1:9000\"", "  form: read"))
          == "platform.address is missing");
    CHECK_FALSE(errorMessageOf("a: [").empty());
    CHECK_FALSE(errorMessageOf("").empty());
    CHECK(errorOf(loadSettings("/nonexistent")).code == PlatformErrorCode::Unreadable);
}

// Guards against a host that ends again and again because of one seed.
TEST_CASE("an odd seed is left out and the others are used")
{
    for (const std::string seed : {"127.0.0.1:65536", "127.0.0.1:4294967297", "127.0.0.1:-1",
                                   "127.0.0.1:", "", "somewhere", "\xff"}) {
        CAPTURE(seed);
        const auto list = "[\"" + seed + "\", [[1]], {a: 2}, \"127.0.0.1:8106\"]";
        const auto parsed = parseSettings(replaced(Valid, "[\"127.0.0.1:8106\"]", list));
        REQUIRE(isOk(parsed));
        CHECK(valueOf(parsed).host.seeds == std::vector<std::string>{"127.0.0.1:8106"});
    }
}

// Guards against settings that overflow, and against a crash while the host runs on a valid file.
TEST_CASE("settings that are nested too deeply or have a number too large are rejected")
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    CHECK_FALSE(isOk(parseSettings(deep)));
    CHECK_FALSE(isOk(parseSettings(replaced(Valid, "[1, 2]", deep))));
    for (const std::string field :
         {"heartbeat_ms: 2000", "contact_ms: 4000", "retry_ratio: 0.2", "retry_burst: 52",
          "cold_excess: 1.5", "cold_slack: 5", "grace_s: 6", "ttl_max_s: 5"}) {
        const auto name = field.substr(0, field.find(' ') + 1);
        for (const std::string value : {"1e400", "1e300", "-1", ".nan", ".inf", "1e18"}) {
            CAPTURE(name);
            CAPTURE(value);
            CHECK_FALSE(isOk(parseSettings(replaced(Valid, field, name + value))));
        }
    }
}

// Guards against hosts that listen for each other on ports that are not free for it.
TEST_CASE("requests between hosts use the ports of the settings file")
{
    const auto any = parseSettings(Valid);
    REQUIRE(isOk(any));
    CHECK(valueOf(any).host.relayAddresses == std::vector<std::string>{"127.0.0.1:0"});
    const auto named = parseSettings(Valid + "\nport_range: [7380, 7381]\n");
    REQUIRE(isOk(named));
    CHECK(valueOf(named).host.relayAddresses
          == std::vector<std::string>{"127.0.0.1:7380", "127.0.0.1:7381"});
    for (const std::string invalid : {"[1]", "[2, 1]", "[1, 70000]", "[-1, 2]", "word"})
        CHECK_FALSE(isOk(parseSettings(Valid + "\nport_range: " + invalid + "\n")));
}
