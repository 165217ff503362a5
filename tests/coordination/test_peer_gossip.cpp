#include "coordination/coordination.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>

using namespace persimmon;
using namespace persimmon::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds RoundInterval{1000};
/// Number of rounds after the start of a host that run at FastRoundInterval.
constexpr int FastRounds = 10;
constexpr milliseconds FastRoundInterval{50};
/// Interval of the check for dead hosts.
constexpr milliseconds ExpiryInterval{250};

/// Simulates the gossip between hosts of several regions in virtual time. Counts the message bytes.
class GossipSimulation
{
public:
    GossipSimulation(
            int regions, int hostsPerRegion, std::uint32_t seed,
            milliseconds remoteHeartbeatTimeout = state::EntryMembership::RemoteHeartbeatTimeout)
        : random_(seed),
          remoteHeartbeatTimeout_(remoteHeartbeatTimeout)
    {
        for (int region = 0; region < regions; ++region) {
            for (int i = 0; i < hostsPerRegion; ++i)
                add(region, i);
        }
        for (auto &host : hosts_)
            host->gossip.setSeeds({controlAddress(0, 0), controlAddress(1 % regions, 0),
                                   controlAddress(2 % regions, 0)});
    }

    /// Advances the virtual time and runs the due rounds and expiry checks of all live hosts.
    void run(seconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += Tick) {
            for (auto &host : hosts_) {
                if (!host->live)
                    continue;
                if (now_ >= host->nextRound)
                    runRound(*host);
                if ((now_ - host->nextRound) % ExpiryInterval == milliseconds(0))
                    deaths_ += host->membership.expire(now_) ? 1 : 0;
            }
        }
    }

    /// Stops a host without an announcement and resets deaths().
    void kill(std::size_t host)
    {
        hosts_[host]->live = false;
        deaths_ = 0;
    }

    /// Replaces a host by a new incarnation without membership data.
    void restart(std::size_t host)
    {
        auto member = hosts_[host]->membership.self();
        member.incarnation += 1000;
        member.heartbeat = 0;
        auto replacement = std::make_unique<Host>(member, remoteHeartbeatTimeout_, random_());
        replacement->gossip.setSeeds(
                {controlAddress(0, 0), controlAddress(1, 0), controlAddress(2, 0)});
        replacement->nextRound = now_;
        hosts_[host] = std::move(replacement);
    }

    /// @return number of live hosts whose membership lists @p host as live.
    int countHostsSeeingLive(std::size_t host) const
    {
        const auto name = hosts_[host]->membership.self().control;
        return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto &host) {
            const auto peers = host->membership.livePeers();
            return host->live && std::find(peers.begin(), peers.end(), name) != peers.end();
        }));
    }

    /// @return whether all live hosts have the same member states.
    bool isConverged() const
    {
        std::optional<std::uint64_t> digest;
        for (const auto &host : hosts_) {
            if (!host->live)
                continue;
            if (digest && *digest != host->membership.digest())
                return false;
            digest = host->membership.digest();
        }
        return true;
    }

    void resetBytes() { bytes_ = crossRegionBytes_ = 0; }
    /// @return bytes exchanged between regions.
    double crossRegionBytes() const { return static_cast<double>(crossRegionBytes_); }
    double bytes() const { return static_cast<double>(bytes_); }
    /// @return number of expiry checks that marked hosts as dead.
    int deaths() const { return deaths_; }

    /// Fraction of the exchanges that are dropped.
    double lossRate = 0.02;

private:
    static constexpr milliseconds Tick{10};

    struct Host
    {
        Host(state::MemberState member, milliseconds remoteHeartbeatTimeout, std::uint64_t seed)
            : membership(std::move(member), remoteHeartbeatTimeout),
              gossip(membership, seed)
        {
        }

        state::EntryMembership membership;
        PeerGossip gossip;
        state::TimePoint nextRound{};
        int rounds = 0;
        bool live = true;
    };

    static std::string controlAddress(int region, int host)
    {
        return "10." + std::to_string(region) + ".0." + std::to_string(host) + ":8106";
    }

    void add(int region, int number)
    {
        state::MemberState member;
        member.control = controlAddress(region, number);
        member.front = member.control + "4";
        member.region = "region-" + std::to_string(region);
        member.failureDomain = member.region + "-a";
        member.incarnation = 1'796'000'000'000ULL;
        member.phase = state::EntryPhase::Ready;
        hosts_.push_back(std::make_unique<Host>(member, remoteHeartbeatTimeout_, random_()));
        hosts_.back()->nextRound = now_ + milliseconds(random_() % 300);
    }

    void runRound(Host &host)
    {
        host.membership.advanceHeartbeat();
        for (const auto &name : host.gossip.selectPeers())
            exchange(host, name);
        host.nextRound = now_ + (++host.rounds <= FastRounds ? FastRoundInterval : RoundInterval);
    }

    void exchange(Host &sender, const std::string &name)
    {
        const auto found = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto &host) {
            return host->membership.self().control == name;
        });
        if (found == hosts_.end() || !(*found)->live
            || std::uniform_real_distribution<double>()(random_) < lossRate)
            return;
        auto &receiver = **found;
        const auto request = sender.gossip.makeRequest(name);
        receiver.gossip.applyMessage(request, now_);
        const auto reply = receiver.gossip.makeReply(request);
        sender.gossip.applyMessage(reply, now_);
        sender.gossip.onReply(reply);
        const auto size = encodePeerMessage(request).size() + encodePeerMessage(reply).size();
        bytes_ += size;
        if (sender.membership.self().region != receiver.membership.self().region)
            crossRegionBytes_ += size;
    }

    std::mt19937 random_;
    milliseconds remoteHeartbeatTimeout_;
    state::TimePoint now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Host>> hosts_;
    std::size_t bytes_ = 0;
    std::size_t crossRegionBytes_ = 0;
    int deaths_ = 0;
};

} // namespace

// Guards against slow discovery between regions, since only few exchanges cross regions.
TEST_CASE("hosts of three regions that start together converge within 4 s")
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        GossipSimulation simulation(3, 22, seed);
        simulation.run(seconds(4));
        CHECK(simulation.isConverged());
        CHECK(simulation.deaths() == 0);
    }
}

// Guards against heartbeats that reach other regions too late, and against a directory that keeps
// listing a killed host. The bound is 3 s beyond the contact time of the deployments.
TEST_CASE("live hosts are never marked as dead and a killed host is detected in time")
{
    struct Deployment
    {
        int hostsPerRegion;
        seconds contact;
    };
    constexpr int Regions = 3;
    for (const auto &[hostsPerRegion, contact] :
         {Deployment{2, seconds(4)}, Deployment{22, seconds(6)}}) {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            GossipSimulation simulation(Regions, hostsPerRegion, seed, contact + seconds(1));
            simulation.run(seconds(60));
            CHECK(simulation.deaths() == 0);
            simulation.kill(1);
            simulation.run(contact + seconds(3));
            CHECK(simulation.countHostsSeeingLive(1) == 0);
            simulation.restart(1);
            simulation.run(seconds(4));
            CHECK(simulation.countHostsSeeingLive(1) == Regions * hostsPerRegion - 1);
            CHECK(simulation.isConverged());
        }
    }
}

// Guards against a live host that is taken for dead, and not listed to callers, because peers that
// have not heard of its restart relay the heartbeats of its earlier incarnation.
TEST_CASE("a host that restarts at once is not taken for dead")
{
    constexpr int Regions = 3;
    constexpr int HostsPerRegion = 8;
    int lost = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        GossipSimulation simulation(Regions, HostsPerRegion, seed);
        simulation.run(seconds(30));
        simulation.restart(1);
        simulation.run(seconds(5));
        for (int second = 0; second < 15; ++second) {
            simulation.run(seconds(1));
            lost += Regions * HostsPerRegion - 1 - simulation.countHostsSeeingLive(1);
        }
    }
    CHECK(lost == 0);
}

// Simulates a rolling restart. Guards against messages that each carry all member states
// while the member set of any host differs. The target limits control traffic to 4 KB/s per host.
TEST_CASE("gossip traffic stays within its limit during a rolling restart")
{
    constexpr double MaxBytesPerSecond = 4096;
    constexpr int Regions = 3;
    constexpr int HostsPerRegion = 22;
    constexpr int Hosts = Regions * HostsPerRegion;
    GossipSimulation simulation(Regions, HostsPerRegion, 1);
    simulation.run(seconds(20));
    simulation.resetBytes();
    simulation.run(seconds(20));
    CHECK(simulation.bytes() / 20 / Hosts < 2 * MaxBytesPerSecond);
    CHECK(simulation.crossRegionBytes() / 20 / Hosts < MaxBytesPerSecond / 8);
    simulation.resetBytes();
    for (std::size_t host = 0; host < 20; ++host) {
        simulation.restart(host);
        simulation.run(seconds(1));
    }
    MESSAGE("bytes per second and host: " << simulation.bytes() / 20 / Hosts << ", across regions "
                                          << simulation.crossRegionBytes() / 20 / Hosts);
    CHECK(simulation.crossRegionBytes() / 20 / Hosts < MaxBytesPerSecond);
}
