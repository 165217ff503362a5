#include "review/standin/case_run.h"

#include <atomic>
#include <csignal>
#include <set>

namespace persimmon::review {

namespace {

/// Shards, servers and pauses of `entry-desk` on the sheet of bkt-search.
constexpr int ShardCount = 30;
constexpr std::chrono::milliseconds WorkTime{11};
constexpr std::chrono::milliseconds PauseTime{150};
constexpr std::chrono::milliseconds PauseInterval{3600};
/// Servers that leave in each round: 0.15 of all 60, one of a shard.
constexpr int LeavingCount = 9;
/// One in three of them doesn't report that it drains: abrupt = 0.3 in the site file.
constexpr int UnreportedInterval = 3;
constexpr int RoundCount = 13;
constexpr int HostCount = 6;
/// Two hosts at once ("race") for 3.9 s, as on the day trouble-3 of bkt-search.
constexpr int FrozenCount = 2;
constexpr std::chrono::milliseconds FreezeTime{3900};
constexpr std::chrono::milliseconds FreezeLead{100};
constexpr std::chrono::milliseconds DrainTime{3000};
constexpr std::chrono::milliseconds ColdTime{3000};
/// Time after a round until the new servers are warm. Requests count from 3 s after the next
/// removals, when all hosts that run are in touch again.
constexpr std::chrono::milliseconds RecoveryTime{3000};
/// Lengthens each round by another part of a second, since hosts talk to each other in seconds.
constexpr std::chrono::milliseconds RoundShift{130};
constexpr std::chrono::milliseconds StartTime{6000};
constexpr std::chrono::milliseconds RecentRead{1500};
/// 15 requests a second reach each host.
constexpr std::chrono::milliseconds RequestInterval{66};

/// A server that leaves.
struct LeftServer
{
    const UpstreamServer *server = nullptr;
    SteadyTime acceptedAt;
    std::set<int> frozenHosts;
};

std::string shardName(int shard)
{
    return "entry-desk-" + std::to_string(shard);
}

std::string gatherRoute()
{
    std::string shards;
    for (int shard = 0; shard < ShardCount; ++shard)
        shards += (shard == 0 ? "\"" : ",\"") + shardName(shard) + "\"";
    return R"({"name":"scoresheet","host":"trials.example","prefix":"/score/","gather":[)" + shards
           + R"(],"top_k":20,"min_fraction":0.89,"kind":"idempotent","max_attempts":2,)"
             R"("deadline_ms":800,"goal_ms":120,"priority":1})";
}

class LateRemoval
{
public:
    explicit LateRemoval(const std::string &recordPath) : run_(recordPath, makePlaces()) {}

    int play();

private:
    static std::vector<HostPlace> makePlaces();
    UpstreamServer &addServer(int shard, int replica, std::chrono::milliseconds coldTime);
    void sendRequests(int host);
    /// @return hosts that have just read the store.
    std::set<int> chooseReaders(int round);
    void sendSignal(const std::set<int> &hosts, int signal, const std::string &name);
    /// Takes a server away.
    /// @param reported whether it reports that it drains, before its entry goes.
    void leave(const UpstreamServer &server, bool reported, const std::set<int> &frozen);
    void playRound(int round);
    int judge();

    CaseRun run_;
    /// Server of each shard that leaves next.
    std::map<int, UpstreamServer *> leaving_;
    std::vector<LeftServer> left_;
    int serverCount_ = 0;
    std::atomic<bool> stopping_ = false;
};

std::vector<HostPlace> LateRemoval::makePlaces()
{
    const std::vector<HostPlace> zones{{"luzon-bulacan", "luzon"},
                                       {"visayas-iloilo", "visayas"},
                                       {"mindanao-bukidnon", "mindanao"}};
    std::vector<HostPlace> places;
    for (int host = 0; host < HostCount; ++host)
        places.push_back(zones[static_cast<std::size_t>(host) % zones.size()]);
    return places;
}

UpstreamServer &LateRemoval::addServer(int shard, int replica, std::chrono::milliseconds coldTime)
{
    UpstreamBehaviour behaviour{WorkTime, PauseTime, PauseInterval};
    // Each server pauses at its own time.
    behaviour.pauseOffset =
            PauseInterval * ((shard * 2 + replica) % (2 * ShardCount)) / (2 * ShardCount);
    return run_.addUpstream("i-" + std::to_string(++serverCount_), shardName(shard),
                            replica == 0 ? "luzon-bulacan" : "visayas-iloilo", behaviour, coldTime);
}

void LateRemoval::sendRequests(int host)
{
    for (int i = 0; !stopping_; ++i) {
        const auto next = std::chrono::steady_clock::now() + RequestInterval;
        const auto id = "h" + std::to_string(host) + "-" + std::to_string(i);
        const auto response = run_.call(host, "/score/" + std::to_string(i), id);
        run_.record().write(id + " answered " + (response ? response->secondWord() : "nothing"));
        std::this_thread::sleep_until(next);
    }
}

std::set<int> LateRemoval::chooseReaders(int round)
{
    std::vector<int> readers;
    for (int host = 0; host < HostCount; ++host) {
        if (run_.store().wasReadBy(host, RecentRead))
            readers.push_back(host);
    }
    std::set<int> chosen;
    for (int i = 0; i < FrozenCount && !readers.empty(); ++i)
        chosen.insert(readers[static_cast<std::size_t>(round + i) % readers.size()]);
    return chosen;
}

void LateRemoval::sendSignal(const std::set<int> &hosts, int signal, const std::string &name)
{
    for (const int host : hosts) {
        run_.record().write("host " + std::to_string(host) + " gets " + name);
        run_.hosts()[static_cast<std::size_t>(host)]->sendSignal(signal);
    }
}

void LateRemoval::leave(const UpstreamServer &server, bool reported, const std::set<int> &frozen)
{
    const auto key = "servers/" + server.id();
    const auto acceptedAt =
            reported ? run_.store().put(key, server.drainingEntry()) : run_.store().remove(key);
    run_.record().write(acceptedAt,
                        "store accepted " + key + (reported ? " as draining" : " as removed"));
    left_.push_back({&server, acceptedAt, frozen});
}

void LateRemoval::playRound(int round)
{
    const auto frozen = CaseRun::hasTrouble() ? chooseReaders(round) : std::set<int>();
    sendSignal(frozen, SIGSTOP, "SIGSTOP");
    const auto frozenAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(FreezeLead);
    std::set<int> shards;
    for (int i = 0; i < LeavingCount; ++i)
        shards.insert((round + i * ShardCount / LeavingCount) % ShardCount);
    int count = 0;
    for (const int shard : shards)
        leave(*leaving_.at(shard), count++ % UnreportedInterval != 0, frozen);
    std::this_thread::sleep_until(frozenAt + FreezeTime);
    sendSignal(frozen, SIGCONT, "SIGCONT");
    for (const int shard : shards) {
        run_.store().remove("servers/" + leaving_.at(shard)->id());
        leaving_[shard] = &addServer(shard, 0, ColdTime);
    }
    std::this_thread::sleep_for(ColdTime);
    for (const int shard : shards)
        run_.store().put("servers/" + leaving_[shard]->id(), leaving_[shard]->entry());
    std::this_thread::sleep_for(RecoveryTime - ColdTime + RoundShift * round);
}

int LateRemoval::judge()
{
    int late = 0;
    std::chrono::milliseconds latest{0};
    for (const auto &left : left_) {
        for (const auto &arrival : left.server->arrivals()) {
            const auto age =
                    std::chrono::floor<std::chrono::milliseconds>(arrival.time - left.acceptedAt);
            // The frozen hosts are not in touch. The second letter of an id is the host's number.
            if (age <= DrainTime || left.frozenHosts.contains(arrival.requestId.at(1) - '0'))
                continue;
            ++late;
            latest = std::max(latest, age);
            run_.record().write(arrival.time,
                                "late: " + arrival.requestId + " reached " + left.server->id() + " "
                                        + std::to_string(age.count())
                                        + " ms after the store had accepted that it leaves");
        }
    }
    return run_.finish(
            late > 0 ? CaseResult::Broken : CaseResult::Held,
            std::to_string(late) + " requests of running hosts reached servers later "
                    + "than 3000 ms after the store had accepted that they leave, the last one "
                    + std::to_string(latest.count()) + " ms after it");
}

int LateRemoval::play()
{
    for (int shard = 0; shard < ShardCount; ++shard) {
        leaving_[shard] = &addServer(shard, 0, {});
        addServer(shard, 1, {});
    }
    std::vector<std::string> services;
    for (int shard = 0; shard < ShardCount; ++shard)
        services.push_back(shardName(shard));
    run_.publishConfig(1, gatherRoute(), services);
    if (!run_.startHosts())
        return run_.finish(CaseResult::NotRun, "a host did not become ready");
    std::vector<std::thread> callers;
    for (int host = 0; host < HostCount; ++host)
        callers.emplace_back([this, host] { sendRequests(host); });
    std::this_thread::sleep_for(StartTime);
    for (int round = 0; round < RoundCount; ++round)
        playRound(round);
    stopping_ = true;
    for (auto &caller : callers)
        caller.join();
    run_.recordArrivals();
    return judge();
}

} // namespace

} // namespace persimmon::review

int main(int argc, char **argv)
{
    return persimmon::review::LateRemoval(argc > 1 ? argv[1] : "record.txt").play();
}
