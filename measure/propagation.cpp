#include "measure/fleet.h"
#include "measure/measurements.h"

#include <algorithm>

namespace persimmon::measure {

namespace {

constexpr std::size_t Watchers = 2 * FailureDomains;
constexpr std::size_t PeersInRound = 2;
constexpr int RoundLimit = 100;
constexpr auto RoundTime = std::chrono::seconds(1);
constexpr std::uint64_t NewRevision = 2;

/// One random order of exchanges over all stores.
/// @return the rounds until all stores hold the new revision.
int roundsUntilKnown(std::size_t agents, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<state::ViewStore> stores;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < agents; ++i) {
        stores.emplace_back("entry-host-" + std::to_string(i));
        stores.back().applyConfig({1, {makeProfile(0, 1)}}, Present);
        order.push_back(i);
    }
    for (std::size_t i = 0; i < Watchers; ++i)
        stores[i].applyConfig({NewRevision, {makeOutDomains(NewRevision)}}, Present);
    auto now = Present;
    for (int round = 1; round <= RoundLimit; ++round, now += RoundTime) {
        std::shuffle(order.begin(), order.end(), random);
        for (const auto asker : order) {
            for (std::size_t i = 0; i < PeersInRound; ++i) {
                auto &answerer = stores[random() % agents];
                const auto request = stores[asker].makeRequest(now);
                answerer.applyRequest(request, now);
                stores[asker].applyReply(answerer.makeReply(request, now), now, now);
            }
        }
        if (std::all_of(stores.begin(), stores.end(),
                        [](const auto &store) { return store.config().revision() == NewRevision; }))
            return round;
    }
    return RoundLimit;
}

} // namespace

std::vector<Series> measurePropagation(std::uint64_t seed)
{
    constexpr std::uint64_t Runs = 20;
    Series worst{"rounds until all know, worst of 20 runs", "agent", "rounds", {}};
    Series mean{"rounds until all know, mean of 20 runs", "agent", "rounds", {}};
    for (const std::size_t agents : {300, 600, 1200, 2400, 4800}) {
        int most = 0;
        int total = 0;
        for (std::uint64_t run = 0; run < Runs; ++run) {
            const int rounds = roundsUntilKnown(agents, seed + run);
            most = std::max(most, rounds);
            total += rounds;
        }
        const auto size = static_cast<double>(agents);
        worst.points.push_back({size, static_cast<double>(most)});
        mean.points.push_back({size, static_cast<double>(total) / Runs});
    }
    return {worst, mean};
}

} // namespace persimmon::measure
