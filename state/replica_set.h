#pragma once

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

    /// Chooses the upstream with the least in-flight work relative to its limit, then the one with
    /// the lower median latency.
    /// @param excluded names that are not chosen.
    Choice choose(std::uint64_t snapshot, const std::set<std::string> &excluded,
                  TimePoint now) const;

    /// @return whether any available upstream is below its limit.
    bool hasCapacity() const;

    /// @return executions that all available upstreams may run at the same time.
    std::size_t totalLimit() const;

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
        /// Not chosen before this time while another upstream is available.
        TimePoint avoidUntil{};
        /// Until when each snapshot is known to be missing.
        std::map<std::uint64_t, TimePoint> missing;

        bool lacks(std::uint64_t snapshot, TimePoint now) const;
    };

    static bool isBetter(const Replica &candidate, const Replica &best);

    std::map<std::string, Replica> replicas_;
};

} // namespace persimmon::state
