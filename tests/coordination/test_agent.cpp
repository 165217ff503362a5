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

/// Polls @p condition until it holds or 20 s have passed.
bool eventually(const std::function<bool()> &condition)
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
    const auto taken = std::chrono::steady_clock::now() - start;
    return std::chrono::duration_cast<std::chrono::milliseconds>(taken).count();
}

/// Minimal configuration service; holds one key and a fixed host list, and each test has its own.
class FakeService
{
public:
    FakeService()
        : runtime_(2),
          server_(runtime_, [this](transport::HttpRequest request) { return answer(request); })
    {
        address_ = valueOf(server_.listen({asio::ip::make_address("127.77.1.100"), 0}));
        runtime_.start();
    }

    ~FakeService() { server_.close(); }

    transport::Endpoint address() const { return address_; }

    void setOutDomain(const std::string &domain, std::uint64_t revision)
    {
        const std::lock_guard lock(mutex_);
        domain_ = domain;
        revision_ = revision;
    }

    std::uint64_t reads() const { return reads_; }
    void setDown(bool down) { down_ = down; }

private:
    static std::uint64_t parameter(const std::string &target, const std::string &name)
    {
        return std::stoull(target.substr(target.find(name + "=") + name.size() + 1));
    }

    asio::awaitable<transport::HttpResponse> answer(transport::HttpRequest request)
    {
        ++reads_;
        const auto since = parameter(request.target, "since");
        const std::chrono::milliseconds wait(parameter(request.target, "wait_ms"));
        const auto deadline = runtime_.clock().now() + wait;
        const bool isConfig = request.target.starts_with("/v1/config");
        while (!down_ && runtime_.clock().now() < deadline
               && (isConfig ? revision_.load() : HostsRevision) <= since)
            co_await runtime_.clock().sleep(5ms);
        if (down_)
            co_return transport::HttpResponse{503, "{}"};
        auto body = isConfig ? configBody(since) : hostsBody(since);
        co_return transport::HttpResponse{200, body};
    }

    std::string configBody(std::uint64_t since) const
    {
        const std::lock_guard lock(mutex_);
        protocol::ConfigReply reply{revision_, {}};
        if (revision_ > since)
            reply.entries.push_back({"out/domains", revision_, "[\"" + domain_ + "\"]"});
        return protocol::encodeConfigReply(reply);
    }

    static std::string hostsBody(std::uint64_t since)
    {
        protocol::HostsReply reply{HostsRevision, std::nullopt};
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
        return protocol::encodeHostsReply(reply);
    }

    static constexpr std::uint64_t HostsRevision = 3;

    std::atomic<std::uint64_t> revision_ = 1;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<bool> down_ = false;
    mutable std::mutex mutex_;
    std::string domain_ = "none";
    transport::Endpoint address_;
    transport::Runtime runtime_;
    transport::HttpServer server_;
};

/// Agents of all hosts in one process.
class Fleet
{
public:
    /// @param reachable number of agents that reach the service.
    Fleet(const FakeService &service, int reachable) : service_(service)
    {
        runtime_.start();
        for (int i = 0; i < HostCount; ++i)
            startAgent(i, i < reachable);
    }

    ~Fleet()
    {
        for (auto &agent : agents_)
            agent.reset();
        runtime_.stop();
    }

    void startAgent(int host, bool reachesService)
    {
        AgentOptions options;
        options.host = hostName(host);
        options.address = agentAddress(host);
        // Nothing listens on the port of the agents at this address.
        options.service = reachesService ? service_.address() : agentAddress(HostCount + 10);
        options.peers = {agentAddress(0)};
        agents_[host] = std::make_unique<Agent>(runtime_, metrics_, options);
        // The listener of the agent before closes on another thread.
        REQUIRE(eventually([&] { return isOk(agents_[host]->start()); }));
    }

    void stopAgent(int host) { agents_[host].reset(); }

    bool allHold(std::uint64_t revision, const std::string &domain) const
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
    const FakeService &service_;
    transport::Metrics metrics_;
    transport::Runtime runtime_{2};
    std::array<std::unique_ptr<Agent>, HostCount> agents_;
};

} // namespace

// Guards against a fleet that reads the service beyond its 2,000 reads/s when it starts at once.
TEST_CASE("the first reads of 2,400 agents that start together stay within the service's limit")
{
    constexpr std::size_t Agents = 2400;
    constexpr std::size_t ReadsOfAgent = 2;
    std::map<std::int64_t, std::size_t> readsInSecond;
    for (std::size_t i = 0; i < Agents; ++i)
        readsInSecond[startReadDelay(Agents, ReadsOfAgent) / 1000ms] += ReadsOfAgent;
    for (const auto &[second, reads] : readsInSecond) {
        MESSAGE("second " << second << ": " << reads << " reads");
        CHECK(reads <= 2000);
    }
}

// Guards against a relay that depends on each agent's own access to the service.
TEST_CASE("a change reaches all agents when only one of them reaches the service")
{
    FakeService service;
    Fleet fleet(service, 1);
    REQUIRE(eventually([&] { return fleet.allHold(1, "none"); }));
    const auto changedAt = std::chrono::steady_clock::now();
    service.setOutDomain("domain-1", 2);
    CHECK(eventually([&] { return fleet.allHold(2, "domain-1"); }));
    MESSAGE("relayed change in force at 6 agents after ms: " << millisecondsSince(changedAt));
}

// Guards against agents that lose or revert their view when the service is down or stale, and
// against a restart during the outage that needs the service.
TEST_CASE("restarted agents get the view from a peer while the service is down, then stale")
{
    FakeService service;
    service.setOutDomain("domain-2", 5);
    Fleet fleet(service, HostCount);
    REQUIRE(eventually([&] { return fleet.allHold(5, "domain-2"); }));
    service.setDown(true);
    for (int i = 1; i < HostCount; ++i)
        fleet.stopAgent(i);
    for (int i = 1; i < HostCount; ++i)
        fleet.startAgent(i, true);
    CHECK(eventually([&] { return fleet.allHold(5, "domain-2"); }));
    service.setOutDomain("stale", 4);
    service.setDown(false);
    std::this_thread::sleep_for(3s);
    CHECK(fleet.allHold(5, "domain-2"));
    service.setOutDomain("domain-0", 6);
    CHECK(eventually([&] { return fleet.allHold(6, "domain-0"); }));
}

// Guards against a daemon without a view when its agent or the service is missing, and against a
// revalidation that succeeds without an answer.
TEST_CASE("a view client follows its agent and falls back to the service")
{
    FakeService service;
    Fleet fleet(service, HostCount);
    ViewClient client(fleet.runtime(), {hostName(2), agentAddress(2), service.address(), 100ms});
    client.start();
    REQUIRE(eventually([&] { return client.isReady() && client.view()->configRevision == 1; }));
    const auto revalidate = [&] {
        return asio::co_spawn(fleet.runtime().context(), client.revalidate(300ms), asio::use_future)
                .get();
    };
    CHECK(revalidate());
    client.reportQuarantine(99, 60s);
    ViewClient other(fleet.runtime(), {hostName(4), agentAddress(4), service.address(), 100ms});
    other.start();
    CHECK(eventually([&] { return other.isReady() && other.view()->quarantined.contains(99); }));
    fleet.stopAgent(2);
    CHECK_FALSE(revalidate());
    service.setOutDomain("domain-1", 2);
    CHECK(eventually([&] { return client.view()->configRevision == 2; }));
}

// Guards against new work on a stale view after the process was paused.
TEST_CASE("a paused view client needs a confirmation that was requested after the pause")
{
    FakeService service;
    Fleet fleet(service, HostCount);
    transport::Runtime runtime(2);
    runtime.start();
    ViewClient client(runtime, {hostName(2), agentAddress(2), service.address(), 100ms});
    client.start();
    REQUIRE(eventually([&] { return client.isReady(); }));
    CHECK_FALSE(client.needsRevalidation());
    runtime.clock().pause();
    runtime.clock().advance(3s);
    CHECK(client.needsRevalidation());
    auto task = client.revalidate(300ms);
    CHECK(asio::co_spawn(runtime.context(), std::move(task), asio::use_future).get());
    CHECK_FALSE(client.needsRevalidation());
    runtime.stop();
}

// Prints the cost of an idle fleet, and guards against reads beyond one watch a second per agent.
TEST_CASE("an idle fleet reads the service rarely and exchanges little")
{
    FakeService service;
    Fleet fleet(service, HostCount);
    REQUIRE(eventually([&] { return fleet.allHold(1, "none"); }));
    std::this_thread::sleep_for(2s);
    auto &bytes = fleet.metrics().counter("persimmon_agent_exchange_served_bytes_total",
                                          "Bytes of exchange bodies received and answered.");
    const auto readsBefore = service.reads();
    const auto bytesBefore = bytes.value();
    std::this_thread::sleep_for(5s);
    const double reads = static_cast<double>(service.reads() - readsBefore) / 5;
    const double rate = static_cast<double>(bytes.value() - bytesBefore) / 5 / HostCount;
    MESSAGE("service reads/s with 6 agents: " << reads);
    MESSAGE("exchange body bytes/s served per agent: " << rate);
    CHECK(reads <= 2 * HostCount);
    CHECK(rate < 4096);
    const auto changedAt = std::chrono::steady_clock::now();
    service.setOutDomain("domain-1", 2);
    REQUIRE(eventually([&] { return fleet.allHold(2, "domain-1"); }));
    MESSAGE("change in force at 6 agents after ms: " << millisecondsSince(changedAt));
}
