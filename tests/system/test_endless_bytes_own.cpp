#include "tests/support/endless_response.h"
#include "tests/system/cluster.h"
#include "tests/system/config_service_proxy.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <iostream>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

/// Memory that a process may use, from the target.
constexpr std::size_t MemoryLimit = 128UL * 1024 * 1024;
constexpr std::size_t LargeBodyBytes = 33'000'000;
constexpr int QueryCount = 60;

/// Sends queries to all entries in turn.
/// @return number of those that are done.
int countDone(Cluster &cluster)
{
    int done = 0;
    for (int i = 0; i < QueryCount; ++i) {
        const auto answer = cluster.query(1 + i % Cluster::HostCount,
                                          {{"profile", "live-scoresheet"},
                                           {"caller", "judge"},
                                           {"query", {{"op", "search"}, {"text", "q"}}}});
        const auto *outcome =
                answer.is_object() ? answer.as_object().if_contains("outcome") : nullptr;
        done += outcome != nullptr && outcome->as_string() == "done" ? 1 : 0;
    }
    return done;
}

} // namespace

// Guards against daemons whose memory is used up by upstreams, the configuration service or peers.
TEST_CASE("endless bytes leave the daemons their memory and their queries")
{
    auto responses = endlessResponses("");
    std::erase_if(responses, [](const auto &response) {
        return response.description.find("body") == std::string::npos
               && response.description != "chunks";
    });
    responses.push_back(unfinishedResponse("", LargeBodyBytes));
    for (const auto &response : responses) {
        CAPTURE(response.description);
        const RawUpstream upstream([&](const std::string &) { return response.toRawResponse(); });
        ConfigServiceProxy service(upstream.address());
        const RawUpstream peer([&](const std::string &) { return response.toRawResponse(); });
        ClusterOptions options;
        options.serviceAddressFor = [&service](const std::string &address) {
            service.setOrigin(address);
            return service.address();
        };
        options.extraPeers = {peer.address()};
        Cluster cluster(options);
        const int doneBefore = countDone(cluster);
        service.replaceResponses(response.toRawResponse());
        const int doneDuring = countDone(cluster);
        std::array<std::size_t, 3> peaks{};
        for (int host = 1; host <= Cluster::HostCount; ++host) {
            const std::array<Process *, 3> daemons{&cluster.agentProcess(host),
                                                   &cluster.dispatchProcess(host),
                                                   &cluster.entryProcess(host)};
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                CHECK(daemons[i]->isRunning());
                peaks[i] = std::max(peaks[i], daemons[i]->peakMemoryBytes());
            }
        }
        std::cout << "own interface, " << response.description << ": peak of agents, dispatchers, "
                  << "entries";
        for (const auto peak : peaks) {
            std::cout << " " << peak / 1024 / 1024 << " MB";
            CHECK(peak < MemoryLimit);
        }
        std::cout << ", " << doneBefore << " and " << doneDuring << " of " << QueryCount
                  << " queries done, " << upstream.requests().size() << " flooded requests, "
                  << peer.requests().size() << " of peers\n";
        CHECK(doneBefore == QueryCount);
        CHECK(doneDuring == QueryCount);
        CHECK(upstream.requests().size() > 0);
    }
}
