#include "measure/fleet.h"
#include "measure/measurements.h"

#include <algorithm>

namespace persimmon::measure {

namespace {

constexpr std::size_t Watchers = 2 * FailureDomains;
constexpr std::size_t PeersInRound = 2;
constexpr int RoundLimit = 100;
constexpr std::chrono::nanoseconds RoundTime = std::chrono::seconds(1);
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

/// Rows of other hosts in each store, so that the rotation rarely comes to the measured row.
constexpr std::size_t OtherRows = 200;
/// Longer than any rumor takes to reach all agents and to end.
constexpr int EpochRounds = 20;
constexpr const char *EpochHost = "entry-host-0";

struct RowSpread
{
    std::size_t lacking = 0;
    std::size_t sent = 0;
};

std::size_t rowsOf(const std::vector<protocol::EntryIncarnation> &rows)
{
    return static_cast<std::size_t>(std::count_if(
            rows.begin(), rows.end(), [](const auto &row) { return row.host == EpochHost; }));
}

/// Spreads the second epoch of one host.
RowSpread spreadEpoch(std::size_t agents, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<state::ViewStore> stores;
    // The rows of the first epoch are no rumors any more.
    const auto before = Present - std::chrono::minutes(1);
    for (std::size_t i = 0; i < agents; ++i) {
        stores.emplace_back("agent-" + std::to_string(i));
        // A store without a host list is one that starts, and gets all rows with each reply.
        stores.back().applyHosts({1, std::vector<protocol::HostRecord>{}}, before);
        stores.back().addIncarnation({EpochHost, 1, 1, 1}, before);
        for (std::size_t row = 1; row <= OtherRows; ++row)
            stores.back().addIncarnation({"entry-host-" + std::to_string(row), 1, 1, 1}, before);
    }
    auto now = Present;
    stores[0].addIncarnation({EpochHost, 1, 2, 2}, now);
    RowSpread spread;
    for (int round = 0; round < EpochRounds; ++round) {
        for (std::size_t asker = 0; asker < agents; ++asker, now += RoundTime / agents) {
            for (std::size_t i = 0; i < PeersInRound; ++i) {
                auto &answerer = stores[random() % agents];
                const auto request = stores[asker].makeRequest(now);
                answerer.applyRequest(request, now);
                const auto reply = answerer.makeReply(request, now);
                stores[asker].applyReply(reply, now, now);
                spread.sent += rowsOf(request.incarnations) + rowsOf(reply.incarnations);
            }
        }
    }
    spread.lacking = static_cast<std::size_t>(
            std::count_if(stores.begin(), stores.end(), [](const auto &store) {
                return store.incarnationVersion(EpochHost) < 2;
            }));
    return spread;
}

} // namespace

std::vector<Series> measureEpochRows(std::uint64_t seed)
{
    Series lacking{"agents without a new epoch after 20 rounds", "agent", "agents", {}};
    Series sent{"rows sent for one new epoch", "agent", "rows", {}};
    for (const std::size_t agents : {300, 600, 1200, 2400}) {
        const auto spread = spreadEpoch(agents, seed);
        const auto size = static_cast<double>(agents);
        lacking.points.push_back({size, static_cast<double>(spread.lacking)});
        sent.points.push_back({size, static_cast<double>(spread.sent)});
    }
    return {lacking, sent};
}

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
