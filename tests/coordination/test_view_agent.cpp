#include "coordination/coordination.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <thread>

using namespace persimmon;
using namespace persimmon::coordination;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr int HostCount = 6;
constexpr std::uint16_t Port = 17300;

std::string hostName(int host)
{
    return "h" + std::to_string(host);
}

std::string hostAddress(int host)
{
    return "127.77.1." + std::to_string(host + 1);
}

transport::Endpoint agentAddress(int host)
{
    return {asio::ip::make_address(hostAddress(host)), Port};
}

/// Polls @p condition every 10 ms until it is true.
/// @return whether it became true within 20 s.
bool waitUntil(const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

std::int64_t millisecondsSince(std::chrono::steady_clock::time_point start)
{
    const auto elapsed = std::chrono::steady_clock::now() - start;
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
}

/// Configuration service with one configuration entry and a fixed host list.
class FakeConfigService
{
public:
    FakeConfigService()
        : runtime_(2),
          server_(runtime_,
                  [this](transport::HttpRequest request) { return handleRequest(request); })
    {
        address_ = valueOf(server_.listen({asio::ip::make_address("127.77.1.100"), 0}));
        runtime_.start();
    }

    ~FakeConfigService() { server_.close(); }

    transport::Endpoint address() const { return address_; }

    /// @param era era of the service and of the value.
    void setOutDomain(const std::string &domain, std::uint64_t revision, std::uint64_t era = 1)
    {
        const std::lock_guard lock(mutex_);
        domain_ = domain;
        revision_ = revision;
        era_ = era;
    }

    std::uint64_t reads() const { return reads_; }
    void setDown(bool down) { down_ = down; }

private:
    static std::uint64_t parameter(const std::string &target, const std::string &name)
    {
        return std::stoull(target.substr(target.find(name + "=") + name.size() + 1));
    }

    /// @return whether the configuration is newer than the position that a reader states. Readers
    ///         that know no era state none.
    bool hasNews(const std::string &target) const
    {
        const std::lock_guard lock(mutex_);
        const auto since = parameter(target, "since");
        if (target.find("era=") == std::string::npos)
            return revision_ > since;
        const protocol::HistoryPosition read{parameter(target, "era"), since};
        return protocol::HistoryPosition{era_, revision_} > read;
    }

    asio::awaitable<transport::HttpResponse> handleRequest(transport::HttpRequest request)
    {
        ++reads_;
        const auto since = parameter(request.target, "since");
        const std::chrono::milliseconds wait(parameter(request.target, "wait_ms"));
        const auto deadline = runtime_.clock().now() + wait;
        const bool isConfig = request.target.starts_with("/v1/config");
        while (!down_ && runtime_.clock().now() < deadline
               && (isConfig ? !hasNews(request.target) : HostsRevision <= since))
            co_await runtime_.clock().sleep(5ms);
        if (down_)
            co_return transport::HttpResponse{503, "{}"};
        auto body = isConfig ? configBody(hasNews(request.target)) : hostsBody(since);
        co_return transport::HttpResponse{200, body};
    }

    std::string configBody(bool hasNews) const
    {
        const std::lock_guard lock(mutex_);
        protocol::ConfigResponse reply{revision_, {}, era_, hasNews};
        if (hasNews)
            reply.entries.push_back({"out/domains", revision_, "[\"" + domain_ + "\"]", era_});
        return protocol::encodeConfigResponse(reply);
    }

    static std::string hostsBody(std::uint64_t since)
    {
        protocol::HostsResponse reply{HostsRevision, std::nullopt};
        if (HostsRevision > since) {
            reply.hosts.emplace();
            for (int i = 0; i < HostCount; ++i)
                reply.hosts->push_back({hostName(i),
                                        protocol::HostKind::Entry,
                                        hostAddress(i),
                                        "domain-" + std::to_string(i % 3),
                                        "",
                                        {}});
        }
        return protocol::encodeHostsResponse(reply);
    }

    static constexpr std::uint64_t HostsRevision = 3;

    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<bool> down_ = false;
    mutable std::mutex mutex_;
    std::string domain_ = "none";
    transport::Endpoint address_;
    transport::Runtime runtime_;
    transport::HttpServer server_;
};

/// The agents of all hosts, running in one process.
class AgentCluster
{
public:
    /// @param connected number of agents that can connect to the service.
    AgentCluster(const FakeConfigService &service, int connected) : service_(service)
    {
        runtime_.start();
        for (int i = 0; i < HostCount; ++i)
            startAgent(i, i < connected);
    }

    ~AgentCluster()
    {
        for (auto &agent : agents_)
            agent.reset();
        runtime_.stop();
    }

    void startAgent(int host, bool isConnected)
    {
        ViewAgentOptions options;
        options.host = hostName(host);
        options.address = agentAddress(host);
        // No agent listens on this address.
        options.service = isConnected ? service_.address() : agentAddress(HostCount + 10);
        options.peers = {agentAddress(0)};
        agents_[host] = std::make_unique<ViewAgent>(runtime_, metrics_, options);
        // The listener of a previous agent is closed asynchronously, so the bind may fail at first.
        REQUIRE(waitUntil([&] { return isOk(agents_[host]->start()); }));
    }

    void stopAgent(int host) { agents_[host].reset(); }

    /// @return whether all agents are ready with this revision, domain and the full host list.
    bool allHaveView(std::uint64_t revision, const std::string &domain) const
    {
        return std::all_of(agents_.begin(), agents_.end(), [&](const auto &agent) {
            const auto view = agent->view();
            return agent->isReady() && view->configRevision == revision
                   && view->outDomains.contains(domain) && view->entryHosts.size() == HostCount;
        });
    }

    transport::Runtime &runtime() { return runtime_; }
    transport::Metrics &metrics() { return metrics_; }

private:
    const FakeConfigService &service_;
    transport::Metrics metrics_;
    transport::Runtime runtime_{2};
    std::array<std::unique_ptr<ViewAgent>, HostCount> agents_;
};

} // namespace

// Guards against agents that exceed the service's limit of 2,000 reads/s when all of them start at
// the same time.
TEST_CASE("startup reads of 2,400 agents that start together stay within the limit of the service")
{
    constexpr std::size_t Agents = 2400;
    constexpr std::size_t ReadsOfAgent = 2;
    std::map<std::int64_t, std::size_t> readsInSecond;
    for (std::size_t i = 0; i < Agents; ++i)
        readsInSecond[startupReadDelay(Agents, ReadsOfAgent) / 1000ms] += ReadsOfAgent;
    for (const auto &[second, reads] : readsInSecond) {
        MESSAGE("second " << second << ": " << reads << " reads");
        CHECK(reads <= 2000);
    }
}

// Guards against agents that receive changes only by their own connection to the service.
TEST_CASE("a change propagates to all agents if only one is connected to the service")
{
    FakeConfigService service;
    AgentCluster cluster(service, 1);
    REQUIRE(waitUntil([&] { return cluster.allHaveView(1, "none"); }));
    const auto changedAt = std::chrono::steady_clock::now();
    service.setOutDomain("domain-1", 2);
    CHECK(waitUntil([&] { return cluster.allHaveView(2, "domain-1"); }));
    MESSAGE("propagation of the change to 6 agents by exchange took (ms): "
            << millisecondsSince(changedAt));
}

// Guards against agents that lose their view or revert it to an older revision while the service is
// down or stale, and against agents that cannot restart without the service.
TEST_CASE("agents restarted while the service is down or stale receive the view from a peer")
{
    FakeConfigService service;
    service.setOutDomain("domain-2", 5);
    AgentCluster cluster(service, HostCount);
    REQUIRE(waitUntil([&] { return cluster.allHaveView(5, "domain-2"); }));
    service.setDown(true);
    for (int i = 1; i < HostCount; ++i)
        cluster.stopAgent(i);
    for (int i = 1; i < HostCount; ++i)
        cluster.startAgent(i, true);
    CHECK(waitUntil([&] { return cluster.allHaveView(5, "domain-2"); }));
    service.setOutDomain("stale", 4);
    service.setDown(false);
    std::this_thread::sleep_for(3s);
    CHECK(cluster.allHaveView(5, "domain-2"));
    service.setOutDomain("domain-0", 6);
    CHECK(waitUntil([&] { return cluster.allHaveView(6, "domain-0"); }));
}

// Guards against a change that is never in force because its revision was assigned before the
// service was restored from an older copy.
TEST_CASE("agents take a change that is confirmed after the service was restored")
{
    FakeConfigService service;
    service.setOutDomain("lost", 5);
    AgentCluster cluster(service, 1);
    ViewClient client(cluster.runtime(), {hostName(2), agentAddress(2), service.address(), 100ms});
    client.start();
    REQUIRE(waitUntil([&] { return cluster.allHaveView(5, "lost"); }));
    service.setOutDomain("rewritten", 3, 2);
    CHECK(waitUntil([&] { return cluster.allHaveView(3, "rewritten"); }));
    CHECK(waitUntil([&] { return client.view()->outDomains.contains("rewritten"); }));
}

// Guards against a daemon that has no view if its agent or the service is unavailable, and against
// a revalidation that succeeds without a reply.
TEST_CASE("a view client polls its agent and falls back to the service")
{
    FakeConfigService service;
    AgentCluster cluster(service, HostCount);
    ViewClient client(cluster.runtime(), {hostName(2), agentAddress(2), service.address(), 100ms});
    client.start();
    REQUIRE(waitUntil([&] { return client.isReady() && client.view()->configRevision == 1; }));
    const auto revalidate = [&] {
        return asio::co_spawn(cluster.runtime().context(), client.revalidate(300ms),
                              asio::use_future)
                .get();
    };
    CHECK(revalidate());
    client.reportQuarantine(99, 60s);
    ViewClient other(cluster.runtime(), {hostName(4), agentAddress(4), service.address(), 100ms});
    other.start();
    CHECK(waitUntil([&] { return other.isReady() && other.view()->quarantined.contains(99); }));
    cluster.stopAgent(2);
    CHECK_FALSE(revalidate());
    service.setOutDomain("domain-1", 2);
    CHECK(waitUntil([&] { return client.view()->configRevision == 2; }));
}

// Guards against new work being started on a stale view after the process was paused.
TEST_CASE("after a pause a view client requires a confirmation requested after the pause")
{
    FakeConfigService service;
    AgentCluster cluster(service, HostCount);
    transport::Runtime runtime(2);
    runtime.start();
    ViewClient client(runtime, {hostName(2), agentAddress(2), service.address(), 100ms});
    client.start();
    REQUIRE(waitUntil([&] { return client.isReady(); }));
    CHECK_FALSE(client.needsRevalidation());
    runtime.clock().pause();
    runtime.clock().advance(3s);
    CHECK(client.needsRevalidation());
    auto task = client.revalidate(300ms);
    CHECK(asio::co_spawn(runtime.context(), std::move(task), asio::use_future).get());
    CHECK_FALSE(client.needsRevalidation());
    runtime.stop();
}

// Prints the read rate and the exchange traffic of idle agents. Guards against a read rate above
// one per second and watch, and against exchange traffic of 4 KiB/s or more per agent.
TEST_CASE("idle agents stay within the limits of service reads and exchange traffic")
{
    FakeConfigService service;
    AgentCluster cluster(service, HostCount);
    REQUIRE(waitUntil([&] { return cluster.allHaveView(1, "none"); }));
    std::this_thread::sleep_for(2s);
    auto &bytes =
            cluster.metrics().counter("persimmon_agent_exchange_served_bytes_total",
                                      "Bytes of view exchange request and response bodies served.");
    const auto readsBefore = service.reads();
    const auto bytesBefore = bytes.value();
    std::this_thread::sleep_for(5s);
    const double reads = static_cast<double>(service.reads() - readsBefore) / 5;
    const double bytesPerSecond = static_cast<double>(bytes.value() - bytesBefore) / 5 / HostCount;
    MESSAGE("service reads/s with 6 agents: " << reads);
    MESSAGE("exchange body bytes/s served per agent: " << bytesPerSecond);
    CHECK(reads <= 2 * HostCount);
    CHECK(bytesPerSecond < 4096);
    const auto changedAt = std::chrono::steady_clock::now();
    service.setOutDomain("domain-1", 2);
    REQUIRE(waitUntil([&] { return cluster.allHaveView(2, "domain-1"); }));
    MESSAGE("propagation of the change to 6 agents took (ms): " << millisecondsSince(changedAt));
}
