#include "tests/support/endless_response.h"
#include "tests/system/cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <thread>

using namespace persimmon::tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;

/// Memory that a process may use, from the target.
constexpr std::size_t MemoryLimit = 128UL * 1024 * 1024;
constexpr std::size_t LargeBodyBytes = 33'000'000;
constexpr int QueryCount = 60;

/// Configuration service that names flooding upstreams beside sound ones, and floods its clients
/// itself on command.
class FloodingConfigService
{
public:
    explicit FloodingConfigService(const EndlessResponse &response)
        : response_(response),
          upstream_([this](const std::string &) { return response_.toRawResponse(); }),
          service_([this](const std::string &request) { return handle(request); })
    {
    }

    std::string address() const { return service_.address(); }
    std::string upstreamAddress() const { return upstream_.address(); }
    void setOrigin(const std::string &address) { origin_ = address; }
    void flood() { flooding_ = true; }
    std::size_t upstreamRequests() const { return upstream_.requests().size(); }

private:
    RawResponse handle(const std::string &request)
    {
        if (flooding_)
            return response_.toRawResponse();
        const auto begin = request.find(' ') + 1;
        const auto target = request.substr(begin, request.find(' ', begin) - begin);
        const auto answer = client_.send(origin_, "GET", target);
        if (!answer)
            return {"", true};
        return {makeResponse(replaceUpstreams(answer->body), "", "", answer->status)};
    }

    /// Names the flooding upstream in place of the first replica of each shard.
    std::string replaceUpstreams(const std::string &body) const
    {
        boost::system::error_code error;
        auto document = json::parse(body, error);
        if (error || !document.is_object() || !document.as_object().contains("hosts"))
            return body;
        for (auto &row : document.as_object().at("hosts").as_array()) {
            const std::string_view name(row.at("name").as_string());
            if (name.starts_with("trial-field") && name.ends_with("-a"))
                row.as_object()["address"] = upstream_.address();
        }
        return json::serialize(document);
    }

    const EndlessResponse response_;
    std::string origin_;
    std::atomic<bool> flooding_ = false;
    HttpClient client_;
    RawUpstream upstream_;
    RawUpstream service_;
};

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
        FloodingConfigService service(response);
        const RawUpstream peer([&](const std::string &) { return response.toRawResponse(); });
        ClusterOptions options;
        options.serviceAddressFor = [&service](const std::string &address) {
            service.setOrigin(address);
            return service.address();
        };
        options.extraPeers = {peer.address()};
        Cluster cluster(options);
        const int doneBefore = countDone(cluster);
        service.flood();
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
                  << " queries done, " << service.upstreamRequests() << " flooded requests, "
                  << peer.requests().size() << " of peers\n";
        CHECK(doneBefore == QueryCount);
        CHECK(doneDuring == QueryCount);
        CHECK(service.upstreamRequests() > 0);
    }
}
