#pragma once

#include "state/recent_latency.h"
#include "state/scheduler_actions.h"
#include "state/upstream_ramp.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// What the view says about one service.
struct ServiceSettings
{
    /// Upstreams that may get new work.
    std::vector<protocol::HostRecord> available;
    /// Executions that one upstream may get from this dispatcher.
    std::uint32_t share = 1;
    /// Executions that one upstream runs at the same time; the share of a first owner.
    std::uint32_t slots = 1;
    std::uint32_t coldLimit = 1;
    bool ramp = true;
    bool hedging = true;
};

/// @param slots executions that one upstream runs at the same time.
/// @param first whether this dispatcher is the first in the ranking of the service.
/// @return the part of the slots that the dispatcher may use.
std::uint32_t shareOfSlots(std::uint32_t slots, bool first);

/// The upstreams of one service: which may get work, and how much.
class ReplicaSet
{
public:
    /// With one primary in 100 as a probe, a query over 20 shards still meets none in most cases.
    static constexpr std::uint32_t ProbeInterval = 100;

    /// What choose() found.
    enum class Availability { Found, Busy, SnapshotMissing, NoUpstream };
    struct Choice
    {
        Availability availability = Availability::NoUpstream;
        protocol::HostRecord upstream;
    };
    /// State of one upstream for status pages.
    struct Row
    {
        std::string name;
        bool available = false;
        std::uint32_t limit = 0;
        std::uint32_t share = 0;
        std::uint32_t inFlight = 0;
    };

    void configure(const ServiceSettings &settings);

    /// Chooses the upstream with the lowest recent latency, weighted with its in-flight work
    /// relative to its limit.
    /// @param excluded names that are not chosen.
    /// @param mayProbe whether an idle upstream that was passed over ProbeInterval times is chosen
    ///        first, so that a slow one that has recovered is found. Only for work that may be
    ///        hedged.
    Choice choose(std::uint64_t snapshot, const std::set<std::string> &excluded, TimePoint now,
                  bool mayProbe = false) const;

    /// @return whether any available upstream is below its limit.
    bool hasCapacity() const;

    /// @return executions that all available upstreams may run at the same time.
    std::size_t totalLimit() const;

    /// @return median of the recent latencies of an upstream, if there are any.
    std::optional<Duration> recentLatency(const std::string &name) const;

    void onStarted(const std::string &name);

    /// @param snapshot snapshot that the attempt asked for.
    /// @param latency time since the attempt was started.
    void onEnded(const std::string &name, const AttemptResult &result, std::uint64_t snapshot,
                 Duration latency, TimePoint now);

    std::vector<Row> rows() const;

private:
    struct Replica
    {
        protocol::HostRecord host;
        UpstreamRamp ramp;
        bool available = true;
        std::uint32_t inFlight = 0;
        /// Executions that other upstreams got since the last one here.
        std::uint32_t passedOver = 0;
        RecentLatency recent;
        /// Not chosen before this time while another upstream is available.
        TimePoint avoidUntil{};
        /// Until when each snapshot is known to be missing.
        std::map<std::uint64_t, TimePoint> missing;

        bool lacks(std::uint64_t snapshot, TimePoint now) const;
        bool isProbeDue() const { return inFlight == 0 && passedOver >= ProbeInterval; }
    };

    /// @return the lowest recent latency of any upstream, which stands for unknown ones.
    Duration lowestLatency() const;
    static double cost(const Replica &replica, Duration unknown);

    std::map<std::string, Replica> replicas_;
};

} // namespace persimmon::state
