#include "state/state.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace persimmon;
using namespace persimmon::state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const AnsweringPeriod AfterOutage{1, Start, Start, Start - seconds(10)};

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
    StoreAvailability store;
    ServiceInfo info;
    HostShare share;
    SharedLimits limits;
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(Fixture, "draining upstreams and evacuated domains are not assigned new work")
{
    // Guards against work for a draining upstream or for a domain that is out of service.
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

TEST_CASE_FIXTURE(Fixture, "an upstream without a record is a last resort for a grace period")
{
    // Guards against an outage of the store that removes all upstreams at once, and against an
    // upstream that is still used long after it has stopped.
    store.merge(AfterOutage);
    registry.update(makeRecord("a", "d1"), Start);
    registry.update(makeRecord("b", "d1"), Start);
    registry.remove("a", Start, store);
    CHECK(names() == Names{"a", "b"});
    CHECK(settings().traits.at("a").lastResort);
    CHECK_FALSE(settings().traits.at("b").lastResort);
    CHECK(registry.removedCount() == 1);
    const auto end = Start + UpstreamRegistry::RemovalGracePeriod;
    CHECK(registry.expire(end - milliseconds(1), store).empty());
    CHECK(registry.expire(end, store)
          == std::vector<ExpiredUpstream>{{"a", "s", UpstreamRegistry::RemovalGracePeriod}});
    CHECK(registry.removedCount() == 0);
    CHECK(names() == Names{"b"});
    // An upstream that registers again within the grace period is used as before.
    registry.remove("b", Start, store);
    registry.update(makeRecord("b", "d1"), Start + seconds(1));
    registry.expire(Start + seconds(10), store);
    CHECK(names() == Names{"b"});
    CHECK_FALSE(settings().traits.at("b").lastResort);
}

TEST_CASE_FIXTURE(Fixture, "an upstream that is removed while the store answers is left at once")
{
    // Guards against a grace period for each removal, which begins when this host hears of it and
    // so ends later for a host that hears of it late.
    store.merge({1, Start, Start + seconds(60)});
    registry.update(makeRecord("a", "d1"), Start);
    CHECK(registry.remove("a", Start + seconds(60), store)
          == UpstreamRemoval{"s", RemovalReason::StoreAnswers, false});
    CHECK(names().empty());
    CHECK(registry.size() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a removed upstream is left if nothing is known of the store")
{
    // Guards against a host that has stood still, or whose peers say nothing of the store, and that
    // keeps each upstream that it hears to be removed, however late that is.
    registry.update(makeRecord("a", "d1"), Start);
    CHECK(registry.remove("a", Start, store)
          == UpstreamRemoval{"s", RemovalReason::StoreUnknown, false});
    CHECK(names().empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a removed upstream is kept after an outage for no longer than from hearing")
{
    // Guards against an upstream that is kept for longer since another outage is known by then.
    store.merge(AfterOutage);
    registry.update(makeRecord("a", "d1"), Start);
    registry.remove("a", Start + seconds(1), store);
    store.merge({1, Start + seconds(6), Start + seconds(7), Start + seconds(3)});
    const auto end = Start + seconds(1) + UpstreamRegistry::RemovalGracePeriod;
    CHECK(registry.expire(end - milliseconds(1), store).empty());
    CHECK(registry.expire(end, store).size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a removed upstream is left as soon as a peer tells of no outage")
{
    // Guards against a host that has missed the store for a while and takes that for its outage.
    store.merge(AfterOutage);
    registry.update(makeRecord("a", "d1"), Start);
    CHECK(registry.remove("a", Start, store)
          == UpstreamRemoval{"s", RemovalReason::StoreOutage, true});
    CHECK(registry.expire(Start + milliseconds(200), store).empty());
    store.merge({1, Start - seconds(60), Start + milliseconds(100)});
    CHECK(registry.expire(Start + milliseconds(250), store)
          == std::vector<ExpiredUpstream>{{"a", "s", milliseconds(250)}});
}

TEST_CASE_FIXTURE(Fixture,
                  "an upstream that is removed while the readers are silent is left at once")
{
    // Guards against hosts that take the silence of all hosts that read the store for its outage.
    // The next host to read it is answered at once.
    store.merge({1, Start, Start + seconds(60)});
    const auto answeredAt = Start + seconds(63);
    store.onAnswer(1, answeredAt, milliseconds(1), answeredAt + milliseconds(3));
    registry.update(makeRecord("a", "d1"), Start);
    registry.remove("a", answeredAt + milliseconds(3), store);
    CHECK(names().empty());
}

TEST_CASE_FIXTURE(Fixture, "a draining upstream is removed without a grace period")
{
    auto record = makeRecord("a", "d1");
    record.draining = true;
    registry.update(record, Start);
    registry.remove("a", Start, store);
    CHECK(registry.size() == 0);
}

TEST_CASE_FIXTURE(Fixture, "the shares of all hosts stay within the shared limits in sum")
{
    // Guards against retries and requests to cold upstreams that exceed their limits in sum, for
    // any number of hosts.
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

TEST_CASE_FIXTURE(Fixture, "a host that is not active uses almost none of the shared limits")
{
    // Guards against inactive hosts that exceed the limits with callers that selected them earlier.
    registry.update(makeRecord("a", "d1"), Start);
    share.position.reset();
    CHECK(settings().traits.at("a").coldRate == 0U);
    CHECK(settings().extraLoad->burst < 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "home regions restrict the upstreams, and upstreams in other regions cost more")
{
    registry.update(makeRecord("a", "d1"), Start);
    registry.update(makeRecord("b", "d2"), Start);
    CHECK(names({"r2"}) == Names{"b"});
    CHECK(settings().traits.at("a").costFactor == 1);
    CHECK(settings().traits.at("b").costFactor > 1);
    CHECK(registry.regionsOf("s") == std::set<std::string>{"r1", "r2"});
}
