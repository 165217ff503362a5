#include "coordination/coordination.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <memory>

namespace asio = boost::asio;

using namespace persimmon;
using namespace persimmon::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Regions = 3;
constexpr int HostsPerRegion = 16;
/// Era of the store.
constexpr std::uint64_t Era = 1;
constexpr milliseconds PollInterval{10};
constexpr milliseconds TickInterval{250};
/// Time after which a call to a silent store ends, beyond its wait time.
constexpr milliseconds CallMargin{700};
/// Times until a configuration must be in force on all hosts of a small and of a large system.
constexpr milliseconds SmallSystemApplyTime{3000};
constexpr milliseconds LargeSystemApplyTime{5000};

/// Store with one record. It stays silent towards some hosts, also on open connections.
struct SilentStore
{
    std::uint64_t revision = 1;
    /// Control addresses.
    std::set<std::string> silentHosts;

    std::vector<state::StoreRecord> items() const { return {{"config", revision, "YQ=="}}; }
};

/// The record replication of one host.
class ReplicationHost
{
public:
    ReplicationHost(transport::Runtime &runtime, SilentStore &store, state::MemberState member)
        : runtime_(runtime),
          store_(store),
          address_(member.control),
          membership_(std::move(member)),
          follower_(runtime, storeHooks(), peerHooks(), RecordFollowerOptions{},
                    [this](const auto & /*records*/) { exchange_.wakeWatchers(); }),
          exchange_(runtime, membership_, follower_, [this] { follower_.checkSource(); })
    {
    }

    void start(const std::vector<std::string> &seeds)
    {
        exchange_.setSeeds(seeds);
        const auto endpoint = transport::parseEndpoint(membership_.self().control);
        REQUIRE(isOk(exchange_.listen(valueOf(endpoint))));
        follower_.start();
        exchange_.start();
        runtime_.spawn(tick());
    }

    std::uint64_t revision() const { return follower_.mirror().position().revision; }

private:
    bool isSilent() const { return store_.silentHosts.contains(address_); }

    StoreHooks storeHooks()
    {
        StoreHooks hooks;
        hooks.readPage = [this](const std::string & /*after*/) { return readPage(); };
        hooks.watch = [this](std::uint64_t after, milliseconds wait) { return watch(after, wait); };
        hooks.reset = [this] { ++connection_; };
        return hooks;
    }

    PeerHooks peerHooks()
    {
        PeerHooks hooks;
        hooks.source = [this] { return membership_.storeSource(runtime_.clock().now()); };
        hooks.watch = [this](std::string peer, state::StorePosition after) {
            return exchange_.watchPeer(std::move(peer), after);
        };
        hooks.reset = [this] { exchange_.resetPeerWatch(); };
        hooks.onSilentPeer = [this](const std::string &peer) {
            membership_.suspect(peer, runtime_.clock().now());
        };
        hooks.onStoreReachabilityChange = [this] {
            if (membership_.setStoreUnreachable(follower_.isStoreUnreachable()))
                exchange_.announce();
        };
        return hooks;
    }

    asio::awaitable<Result<StorePage, StoreFailure>> readPage()
    {
        if (isSilent()) {
            co_await runtime_.clock().sleep(seconds(1));
            co_return StoreFailure::Unavailable;
        }
        StorePage page{store_.items(), false, {Era, store_.revision}};
        co_return page;
    }

    asio::awaitable<Result<StoreChanges, StoreFailure>> watch(std::uint64_t after,
                                                              milliseconds wait)
    {
        const auto connection = connection_;
        bool lost = false;
        const auto end = runtime_.clock().now() + wait;
        while (runtime_.clock().now() < end + (lost ? CallMargin : milliseconds(0))) {
            co_await runtime_.clock().sleep(PollInterval);
            lost = lost || isSilent();
            if (connection != connection_)
                co_return StoreFailure::Unavailable;
            if (!lost && store_.revision > after)
                break;
        }
        if (lost)
            co_return StoreFailure::Unavailable;
        StoreChanges changes{store_.items(), {Era, store_.revision}};
        co_return changes;
    }

    asio::awaitable<void> tick()
    {
        while (true) {
            co_await runtime_.clock().sleep(TickInterval);
            exchange_.expire();
        }
    }

    transport::Runtime &runtime_;
    SilentStore &store_;
    const std::string address_;
    /// Changes when the connection to the store is closed.
    int connection_ = 0;
    state::EntryMembership membership_;
    RecordFollower follower_;
    PeerExchange exchange_;
};

/// Hosts of several regions on loopback addresses.
class ReplicationCluster
{
public:
    ReplicationCluster()
    {
        for (int region = 0; region < Regions; ++region) {
            for (int host = 0; host < HostsPerRegion; ++host) {
                state::MemberState member;
                member.control = controlAddress(region, host);
                member.front = member.control;
                member.failureDomain = "d" + std::to_string(region);
                member.region = "r" + std::to_string(region);
                member.incarnation = 1;
                member.phase = state::EntryPhase::Ready;
                hosts_.push_back(std::make_unique<ReplicationHost>(runtime_, store_, member));
            }
        }
        for (auto &host : hosts_)
            host->start({controlAddress(0, 0), controlAddress(1, 0), controlAddress(2, 0)});
    }

    /// Runs @p scenario in the runtime until it returns.
    void run(const std::function<asio::awaitable<void>()> &scenario)
    {
        runtime_.spawn([](ReplicationCluster &self, auto task) -> asio::awaitable<void> {
            co_await task();
            self.runtime_.requestStop();
        }(*this, scenario));
        runtime_.run();
    }

    asio::awaitable<void> sleep(milliseconds time) { co_await runtime_.clock().sleep(time); }

    /// Changes the record.
    /// @return the time until all hosts hold the change, at most @p limit.
    asio::awaitable<milliseconds> publish(milliseconds limit)
    {
        ++store_.revision;
        const auto start = runtime_.clock().now();
        while (runtime_.clock().now() < start + limit && !allHold(store_.revision))
            co_await sleep(PollInterval);
        co_return std::chrono::round<milliseconds>(runtime_.clock().now() - start);
    }

    /// @return the time until a change that follows the silence of @p silentHosts is complete.
    asio::awaitable<milliseconds> publishDuringSilence(std::set<std::string> silentHosts)
    {
        store_.silentHosts = std::move(silentHosts);
        co_await sleep(milliseconds(500));
        const auto time = co_await publish(seconds(10));
        store_.silentHosts.clear();
        co_await sleep(seconds(6));
        co_return time;
    }

    static std::string controlAddress(int region, int host)
    {
        // Test programs that run side by side use different ports.
        constexpr int FirstPort = 10'000;
        constexpr int PortCount = 20'000;
        static const int port = FirstPort + static_cast<int>(::getpid()) % PortCount;
        // Hosts are selected in the order of their addresses as text.
        constexpr int FirstHostNumber = 101;
        return "127.77." + std::to_string(region + 1) + "." + std::to_string(FirstHostNumber + host)
               + ":" + std::to_string(port);
    }

private:
    bool allHold(std::uint64_t revision) const
    {
        return std::all_of(hosts_.begin(), hosts_.end(),
                           [revision](const auto &host) { return host->revision() >= revision; });
    }

    transport::Runtime runtime_{1};
    SilentStore store_;
    std::vector<std::unique_ptr<ReplicationHost>> hosts_;
};

/// @return the times until three changes have reached all hosts, each after the store fell silent.
std::vector<milliseconds> measureChanges(const std::set<std::string> &silentHosts)
{
    constexpr seconds StartTime{4};
    constexpr int Changes = 3;
    ReplicationCluster cluster;
    std::vector<milliseconds> times;
    cluster.run([&]() -> asio::awaitable<void> {
        co_await cluster.sleep(StartTime);
        for (int change = 0; change < Changes; ++change)
            times.push_back(co_await cluster.publishDuringSilence(silentHosts));
    });
    return times;
}

} // namespace

// Guards against hosts that hold an old configuration while the store is silent towards the hosts
// of their region that read it.
TEST_CASE("a change reaches all hosts in time although the store is silent towards most regions")
{
    std::set<std::string> silentHosts;
    for (int host = 0; host < HostsPerRegion; ++host) {
        silentHosts.insert(ReplicationCluster::controlAddress(1, host));
        silentHosts.insert(ReplicationCluster::controlAddress(2, host));
    }
    for (const auto &time : measureChanges(silentHosts))
        CHECK(time <= SmallSystemApplyTime);
}

// Guards against hosts that the store serves but that wait for readers, and for the replacements of
// these readers, to which the store is silent.
TEST_CASE("a change reaches all hosts in time although the store is silent towards all its readers")
{
    constexpr int SilentPerRegion = 4;
    std::set<std::string> silentHosts;
    for (int region = 0; region < Regions; ++region) {
        for (int host = 0; host < SilentPerRegion; ++host)
            silentHosts.insert(ReplicationCluster::controlAddress(region, host));
    }
    for (const auto &time : measureChanges(silentHosts))
        CHECK(time <= LargeSystemApplyTime);
}
