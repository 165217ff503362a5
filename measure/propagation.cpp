#include "measure/fleet.h"
#include "measure/measurements.h"

#include <algorithm>

namespace persimmon::measure {

namespace {

constexpr std::size_t StoreWatchers = 2 * FailureDomains;
constexpr std::size_t PeersPerRound = 2;
constexpr int MaxRounds = 100;
constexpr std::chrono::nanoseconds RoundInterval = std::chrono::seconds(1);
constexpr std::uint64_t NewRevision = 2;

/// Simulates exchanges between all stores in random order.
/// @return number of rounds until all stores hold the new revision, at most MaxRounds.
int countRoundsToConverge(std::size_t agents, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<state::ViewStore> stores;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < agents; ++i) {
        stores.emplace_back("entry-host-" + std::to_string(i));
        stores.back().applyConfig({1, {makeProfile(0, 1)}}, FixedNow);
        order.push_back(i);
    }
    for (std::size_t i = 0; i < StoreWatchers; ++i)
        stores[i].applyConfig({NewRevision, {makeOutOfService(NewRevision)}}, FixedNow);
    auto now = FixedNow;
    for (int round = 1; round <= MaxRounds; ++round, now += RoundInterval) {
        std::shuffle(order.begin(), order.end(), random);
        for (const auto requester : order) {
            for (std::size_t i = 0; i < PeersPerRound; ++i) {
                auto &responder = stores[random() % agents];
                const auto request = stores[requester].makeRequest(now);
                responder.applyRequest(request, now);
                stores[requester].applyReply(responder.makeReply(request, now), now, now);
            }
        }
        if (std::all_of(stores.begin(), stores.end(),
                        [](const auto &store) { return store.config().revision() == NewRevision; }))
            return round;
    }
    return MaxRounds;
}

/// Incarnations of other hosts in each store, so that the periodic rotation of entries rarely sends
/// the measured one.
constexpr std::size_t OtherIncarnations = 200;
/// Exceeds the number of rounds in which a new epoch reaches all agents and its propagation ends.
constexpr int EpochRounds = 20;
constexpr const char *EpochHost = "entry-host-0";

struct EpochPropagation
{
    std::size_t agentsWithoutEpoch = 0;
    std::size_t entriesSent = 0;
};

std::size_t countEpochEntries(const std::vector<protocol::EntryIncarnation> &entries)
{
    return static_cast<std::size_t>(
            std::count_if(entries.begin(), entries.end(),
                          [](const auto &entry) { return entry.host == EpochHost; }));
}

/// Simulates the propagation of the second epoch of one host.
EpochPropagation propagateEpoch(std::size_t agents, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<state::ViewStore> stores;
    // The propagation of the first epoch has ended.
    const auto before = FixedNow - std::chrono::minutes(1);
    for (std::size_t i = 0; i < agents; ++i) {
        stores.emplace_back("agent-" + std::to_string(i));
        // Without a host list a store counts as starting and receives all entries with each reply.
        stores.back().applyHosts({1, std::vector<protocol::HostRecord>{}}, before);
        stores.back().addIncarnation({EpochHost, 1, 1, 1}, before);
        for (std::size_t host = 1; host <= OtherIncarnations; ++host)
            stores.back().addIncarnation({"entry-host-" + std::to_string(host), 1, 1, 1}, before);
    }
    auto now = FixedNow;
    stores[0].addIncarnation({EpochHost, 1, 2, 2}, now);
    EpochPropagation result;
    for (int round = 0; round < EpochRounds; ++round) {
        for (std::size_t requester = 0; requester < agents;
             ++requester, now += RoundInterval / agents) {
            for (std::size_t i = 0; i < PeersPerRound; ++i) {
                auto &responder = stores[random() % agents];
                const auto request = stores[requester].makeRequest(now);
                responder.applyRequest(request, now);
                const auto reply = responder.makeReply(request, now);
                stores[requester].applyReply(reply, now, now);
                result.entriesSent += countEpochEntries(request.incarnations)
                                      + countEpochEntries(reply.incarnations);
            }
        }
    }
    result.agentsWithoutEpoch = static_cast<std::size_t>(
            std::count_if(stores.begin(), stores.end(), [](const auto &store) {
                return store.incarnationVersion(EpochHost) < 2;
            }));
    return result;
}

} // namespace

std::vector<Series> measureEpochPropagation(std::uint64_t seed)
{
    Series agentsWithoutEpoch{"agents without a new epoch after 20 rounds", "agent", "agents", {}};
    Series sent{"entries sent for one new epoch", "agent", "rows", {}};
    for (const std::size_t agents : {300, 600, 1200, 2400}) {
        const auto result = propagateEpoch(agents, seed);
        const auto size = static_cast<double>(agents);
        agentsWithoutEpoch.points.push_back({size, static_cast<double>(result.agentsWithoutEpoch)});
        sent.points.push_back({size, static_cast<double>(result.entriesSent)});
    }
    return {agentsWithoutEpoch, sent};
}

std::vector<Series> measurePropagation(std::uint64_t seed)
{
    constexpr std::uint64_t Runs = 20;
    Series maximum{"rounds to converge, maximum of 20 runs", "agent", "rounds", {}};
    Series mean{"rounds to converge, mean of 20 runs", "agent", "rounds", {}};
    for (const std::size_t agents : {300, 600, 1200, 2400, 4800}) {
        int maxRounds = 0;
        int totalRounds = 0;
        for (std::uint64_t run = 0; run < Runs; ++run) {
            const int rounds = countRoundsToConverge(agents, seed + run);
            maxRounds = std::max(maxRounds, rounds);
            totalRounds += rounds;
        }
        const auto size = static_cast<double>(agents);
        maximum.points.push_back({size, static_cast<double>(maxRounds)});
        mean.points.push_back({size, static_cast<double>(totalRounds) / Runs});
    }
    return {maximum, mean};
}

} // namespace persimmon::measure
