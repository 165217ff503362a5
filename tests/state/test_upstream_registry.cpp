#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};

UpstreamRecord makeRecord(const std::string &id, const std::string &domain)
{
    UpstreamRecord record;
    record.id = id;
    record.service = "s";
    record.address = "127.0.0.1:1";
    record.failureDomain = domain;
    record.slots = 2;
    return record;
}

class Fixture
{
public:
    Fixture() : registry({{"d1", "r1"}, {"d2", "r2"}})
    {
        share.hosts = 4;
        share.region = "r1";
        limits.retryBurst = 50;
        limits.coldExcess = 1.5;
        limits.coldSlack = 5;
        info.maxConnections = 25;
        info.coldTime = seconds(3);
        info.coldRate = 10;
    }

    ServiceSettings settings(const std::vector<std::string> &homes = {}) const
    {
        return registry.settingsOf("s", info, homes, share, limits);
    }

    std::vector<std::string> names(const std::vector<std::string> &homes = {}) const
    {
        std::vector<std::string> names;
        for (const auto &host : settings(homes).available)
            names.push_back(host.name);
        return names;
    }

    UpstreamRegistry registry;
    ServiceInfo info;
    HostShare share;
    SharedLimits limits;
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(Fixture, "draining upstreams and evacuated domains get no new work")
{
    // Guards against work for an upstream that leaves or for a domain that was taken out.
    registry.update(makeRecord("a", "d1"), Start);
    registry.update(makeRecord("b", "d2"), Start);
    CHECK(names() == Names{"a", "b"});
    auto draining = makeRecord("a", "d1");
    draining.draining = true;
    CHECK(registry.update(draining, Start) == std::set<std::string>{"s"});
    CHECK(names() == Names{"b"});
    CHECK(registry.setEvacuated("d2", true) == std::set<std::string>{"s"});
    CHECK(names().empty());
    CHECK(registry.setEvacuated("d2", true).empty());
    registry.setEvacuated("d2", false);
    CHECK(names() == Names{"b"});
}

TEST_CASE_FIXTURE(Fixture, "a lapsed registration stays the last choice until its time is over")
{
    // Guards against an outage of the store that takes all upstreams away at once, and against an
    // upstream that is used long after it is gone.
    registry.update(makeRecord("a", "d1"), Start);
    registry.update(makeRecord("b", "d1"), Start);
    registry.remove("a", Start);
    CHECK(names() == Names{"a", "b"});
    CHECK(settings().traits.at("a").lastResort);
    CHECK_FALSE(settings().traits.at("b").lastResort);
    CHECK(registry.nextExpiry() == Start + UpstreamRegistry::LapseTime);
    CHECK(registry.expire(Start + UpstreamRegistry::LapseTime - milliseconds(1)).empty());
    CHECK(registry.expire(Start + UpstreamRegistry::LapseTime) == std::set<std::string>{"s"});
    CHECK(names() == Names{"b"});
    // One that returns in time is used as before.
    registry.remove("b", Start);
    registry.update(makeRecord("b", "d1"), Start + seconds(1));
    registry.expire(Start + seconds(10));
    CHECK(names() == Names{"b"});
    CHECK_FALSE(settings().traits.at("b").lastResort);
}

TEST_CASE_FIXTURE(Fixture, "an upstream that drained is removed at once")
{
    auto record = makeRecord("a", "d1");
    record.draining = true;
    registry.update(record, Start);
    registry.remove("a", Start);
    CHECK(registry.size() == 0);
}

TEST_CASE_FIXTURE(Fixture, "the parts of all hosts stay within the shared limits")
{
    // Guards against retries and cold requests that exceed their limits in sum, for any number of
    // hosts.
    registry.update(makeRecord("a", "d1"), Start);
    for (std::uint32_t hosts = 1; hosts <= 70; ++hosts) {
        double burst = 0;
        std::uint32_t cold = 0;
        std::uint32_t connections = 0;
        share.hosts = hosts;
        for (std::uint32_t position = 0; position < hosts; ++position) {
            share.position = position;
            const auto part = settings();
            burst += part.extraLoad->burst;
            cold += part.traits.at("a").coldRate.value();
            connections += part.traits.at("a").limit;
        }
        CHECK(burst <= limits.retryBurst);
        CHECK(cold <= info.coldRate * limits.coldExcess + limits.coldSlack);
        // With more hosts than connections each host still needs one.
        CHECK(connections <= std::max(info.maxConnections, hosts));
    }
}

TEST_CASE_FIXTURE(Fixture, "a host beside the active ones adds next to nothing to shared limits")
{
    // Guards against limits that idle hosts exceed with callers that found them earlier.
    registry.update(makeRecord("a", "d1"), Start);
    share.position.reset();
    CHECK(settings().traits.at("a").coldRate == 0U);
    CHECK(settings().extraLoad->burst < 1);
}

TEST_CASE_FIXTURE(Fixture, "homes restrict the upstreams and far ones cost more")
{
    registry.update(makeRecord("a", "d1"), Start);
    registry.update(makeRecord("b", "d2"), Start);
    CHECK(names({"r2"}) == Names{"b"});
    CHECK(settings().traits.at("a").costFactor == 1);
    CHECK(settings().traits.at("b").costFactor > 1);
    CHECK(registry.regionsOf("s") == std::set<std::string>{"r1", "r2"});
}
