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

constexpr milliseconds Round{1000};
/// Rounds of a host right after its start, which follow each other faster.
constexpr int FastRounds = 10;
constexpr milliseconds FastRound{50};
/// How often hosts look for dead ones.
constexpr milliseconds ExpiryInterval{250};

/// Hosts of several regions that gossip on a clock of the test. Counts the bytes of messages.
class Fleet
{
public:
    Fleet(int regions, int hostsOfRegion, std::uint32_t seed,
          milliseconds farDeadTime = state::EntryMembership::FarDeadTime)
        : random_(seed),
          farDeadTime_(farDeadTime)
    {
        for (int region = 0; region < regions; ++region) {
            for (int i = 0; i < hostsOfRegion; ++i)
                add(region, i);
        }
        for (auto &host : hosts_)
            host->gossip.setSeeds({nameOf(0, 0), nameOf(1 % regions, 0), nameOf(2 % regions, 0)});
    }

    /// Lets all live hosts go through their rounds.
    void run(seconds time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += Tick) {
            for (auto &host : hosts_) {
                if (!host->live)
                    continue;
                if (now_ >= host->nextRound)
                    doRound(*host);
                if ((now_ - host->nextRound) % ExpiryInterval == milliseconds(0))
                    deaths_ += host->membership.expire(now_) ? 1 : 0;
            }
        }
    }

    void kill(std::size_t host)
    {
        hosts_[host]->live = false;
        deaths_ = 0;
    }

    void restart(std::size_t host)
    {
        auto row = hosts_[host]->membership.self();
        row.incarnation += 1000;
        row.heartbeat = 0;
        auto fresh = std::make_unique<Host>(row, farDeadTime_, random_());
        fresh->gossip.setSeeds({nameOf(0, 0), nameOf(1, 0), nameOf(2, 0)});
        fresh->nextRound = now_;
        hosts_[host] = std::move(fresh);
    }

    /// @return how many live hosts believe that @p host lives.
    int believers(std::size_t host) const
    {
        const auto name = hosts_[host]->membership.self().control;
        return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto &row) {
            const auto peers = row->membership.livePeers();
            return row->live && std::find(peers.begin(), peers.end(), name) != peers.end();
        }));
    }

    /// @return whether all live hosts hold the same rows.
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

    void resetBytes() { bytes_ = farBytes_ = 0; }
    double farBytes() const { return static_cast<double>(farBytes_); }
    double bytes() const { return static_cast<double>(bytes_); }
    int deaths() const { return deaths_; }

    /// Part of the exchanges that are lost.
    double loss = 0.02;

private:
    static constexpr milliseconds Tick{10};

    struct Host
    {
        Host(state::EntryRow row, milliseconds farDeadTime, std::uint64_t seed)
            : membership(std::move(row), farDeadTime),
              gossip(membership, seed)
        {
        }

        state::EntryMembership membership;
        PeerGossip gossip;
        state::TimePoint nextRound{};
        int rounds = 0;
        bool live = true;
    };

    static std::string nameOf(int region, int host)
    {
        return "10." + std::to_string(region) + ".0." + std::to_string(host) + ":8106";
    }

    void add(int region, int number)
    {
        state::EntryRow row;
        row.control = nameOf(region, number);
        row.front = row.control + "4";
        row.region = "region-" + std::to_string(region);
        row.failureDomain = row.region + "-a";
        row.incarnation = 1'796'000'000'000ULL;
        row.phase = state::EntryPhase::Ready;
        hosts_.push_back(std::make_unique<Host>(row, farDeadTime_, random_()));
        hosts_.back()->nextRound = now_ + milliseconds(random_() % 300);
    }

    void doRound(Host &host)
    {
        host.membership.beat();
        for (const auto &name : host.gossip.nextPeers())
            exchange(host, name);
        host.nextRound = now_ + (++host.rounds <= FastRounds ? FastRound : Round);
    }

    void exchange(Host &asker, const std::string &name)
    {
        const auto found = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto &host) {
            return host->membership.self().control == name;
        });
        if (found == hosts_.end() || !(*found)->live
            || std::uniform_real_distribution<double>()(random_) < loss)
            return;
        auto &asked = **found;
        const auto question = asker.gossip.question(name);
        asked.gossip.take(question, now_);
        const auto answer = asked.gossip.answer(question);
        asker.gossip.take(answer, now_);
        asker.gossip.onAnswered(answer);
        const auto size = encodePeerMessage(question).size() + encodePeerMessage(answer).size();
        bytes_ += size;
        if (asker.membership.self().region != asked.membership.self().region)
            farBytes_ += size;
    }

    std::mt19937 random_;
    milliseconds farDeadTime_;
    state::TimePoint now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Host>> hosts_;
    std::size_t bytes_ = 0;
    std::size_t farBytes_ = 0;
    int deaths_ = 0;
};

} // namespace

TEST_CASE("hosts of three regions know each other soon after they start together")
{
    // Guards against regions that learn of each other late because few exchanges join them.
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(3, 22, seed);
        fleet.run(seconds(4));
        CHECK(fleet.isConverged());
        CHECK(fleet.deaths() == 0);
    }
}

TEST_CASE("live hosts are never taken for dead and a killed one is found dead in time")
{
    // Guards against heartbeats that reach other regions too late, and against a directory that
    // goes on to name a killed host. The bound is 3 s beyond the contact time of the deployments.
    struct Size
    {
        int hostsOfRegion;
        seconds contact;
    };
    constexpr int Regions = 3;
    for (const auto &[hostsOfRegion, contact] : {Size{2, seconds(4)}, Size{22, seconds(6)}}) {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            Fleet fleet(Regions, hostsOfRegion, seed, contact + seconds(1));
            fleet.run(seconds(60));
            CHECK(fleet.deaths() == 0);
            fleet.kill(1);
            fleet.run(contact + seconds(3));
            CHECK(fleet.believers(1) == 0);
            fleet.restart(1);
            fleet.run(seconds(4));
            CHECK(fleet.believers(1) == Regions * hostsOfRegion - 1);
            CHECK(fleet.isConverged());
        }
    }
}

TEST_CASE("control traffic stays within its limit while hosts restart in turn")
{
    // Load pattern: a rolling restart of many hosts. Guards against whole lists of rows in each
    // message, in all directions, as long as any host's list differs. The limit of the target is
    // 4 KB/s a host.
    constexpr double LimitPerHost = 4096;
    constexpr int Regions = 3;
    constexpr int HostsOfRegion = 22;
    constexpr int Hosts = Regions * HostsOfRegion;
    Fleet fleet(Regions, HostsOfRegion, 1);
    fleet.run(seconds(20));
    fleet.resetBytes();
    fleet.run(seconds(20));
    CHECK(fleet.bytes() / 20 / Hosts < 2 * LimitPerHost);
    CHECK(fleet.farBytes() / 20 / Hosts < LimitPerHost / 8);
    fleet.resetBytes();
    for (std::size_t host = 0; host < 20; ++host) {
        fleet.restart(host);
        fleet.run(seconds(1));
    }
    MESSAGE("bytes a second and host: " << fleet.bytes() / 20 / Hosts << ", to other regions "
                                        << fleet.farBytes() / 20 / Hosts);
    CHECK(fleet.farBytes() / 20 / Hosts < LimitPerHost);
}
