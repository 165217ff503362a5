#include "state/state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace persimmon;
using namespace persimmon::state;

namespace {

constexpr int DomainCount = 3;

std::string domainName(int number)
{
    return "domain-" + std::to_string(number);
}

/// Creates a cluster of random size in which some hosts and failure domains are unavailable.
ClusterView makeCluster()
{
    ClusterView view;
    const auto hosts = *rc::gen::inRange(1, 13);
    for (int i = 0; i < hosts; ++i) {
        protocol::HostRecord host;
        host.name = "h" + std::to_string(i);
        host.failureDomain = domainName(i % DomainCount);
        host.state = *rc::gen::weightedElement<protocol::HostState>(
                {{5, protocol::HostState::Live}, {1, protocol::HostState::Leaving}});
        if (*rc::gen::inRange(0, 6) == 0)
            view.outHosts.insert(host.name);
        if (*rc::gen::inRange(0, 6) == 0)
            view.leavingHosts.insert(host.name);
        view.entryHosts[host.name] = host;
    }
    if (*rc::gen::inRange(0, 3) == 0)
        view.outDomains.insert(domainName(*rc::gen::inRange(0, DomainCount)));
    for (int service = 0; service < 20; ++service) {
        const auto name = "trial-field-" + std::to_string(service);
        protocol::HostRecord upstream;
        upstream.kind = protocol::HostKind::Upstream;
        upstream.service = name;
        upstream.failureDomain = domainName(*rc::gen::inRange(0, DomainCount));
        view.upstreams[name] = {upstream};
    }
    return view;
}

} // namespace

// Guards against a ranking that contains hosts out of service, or that reassigns the services of
// other hosts when one host leaves.
TEST_CASE("rankings contain only available hosts and removing a host moves only its services")
{
    CHECK(rc::check([] {
        const auto view = makeCluster();
        auto smaller = view;
        const auto removed = "h" + std::to_string(*rc::gen::inRange(0, 13));
        smaller.entryHosts.erase(removed);
        for (const auto &[service, upstreams] : view.upstreams) {
            auto before = rankDispatchers(view, service);
            for (const auto &name : before)
                RC_ASSERT(view.isAvailable(view.entryHosts.at(name)));
            const auto available =
                    std::count_if(view.entryHosts.begin(), view.entryHosts.end(),
                                  [&](const auto &host) { return view.isAvailable(host.second); });
            RC_ASSERT(std::ssize(before) == available);
            const auto &domain = upstreams[0].failureDomain;
            const auto isInServiceDomain = [&](const auto &name) {
                return view.entryHosts.at(name).failureDomain == domain;
            };
            RC_ASSERT(std::is_partitioned(before.begin(), before.end(), isInServiceDomain));
            // Guards against a planner that selects another owner than the dispatchers.
            const auto topCount = std::min<std::size_t>(3, before.size());
            RC_ASSERT(DispatcherRanking(view).first(service, 3)
                      == std::vector(before.begin(),
                                     before.begin() + static_cast<std::ptrdiff_t>(topCount)));
            std::erase(before, removed);
            RC_ASSERT(rankDispatchers(smaller, service) == before);
        }
        auto entries = rankEntries(view, "caller-7");
        std::erase(entries, removed);
        RC_ASSERT(rankEntries(smaller, "caller-7") == entries);
    }));
}

// Guards against owners that differ within a block, which would multiply the batches of a query.
TEST_CASE("the services of a block share their ranking")
{
    ClusterView view;
    for (int i = 0; i < 6; ++i) {
        const auto name = "h" + std::to_string(i);
        view.entryHosts[name].name = name;
    }
    CHECK(rankDispatchers(view, "trial-field-08") == rankDispatchers(view, "trial-field-15"));
    bool differs = false;
    for (const auto *service : {"trial-field-00", "trial-field-16", "trial-field-24"})
        differs = differs
                  || rankDispatchers(view, service) != rankDispatchers(view, "trial-field-08");
    CHECK(differs);
}
