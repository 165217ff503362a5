#pragma once

#include "state/cold_rate.h"
#include "state/extra_load_budget.h"
#include "state/recent_latency.h"
#include "state/scheduler_actions.h"
#include "state/service_timing.h"
#include "state/upstream_ramp.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// What placement takes into account for one upstream beside its host record.
struct UpstreamTraits
{
    /// Executions that this host may have in flight there; 0 takes the share of the service.
    std::uint32_t limit = 0;
    /// Factor on its latency in the ranking; above 1 where its use costs more.
    double costFactor = 1;
    /// Until when it is cold.
    TimePoint coldUntil{};
    /// Requests that this host may send it per ColdRate::Window while it is cold; nothing sets no
    /// limit.
    std::optional<std::uint32_t> coldRate = {};
    /// How long it stays cold after a restart that no list has told of yet.
    Duration coldTime{};
    /// Whether it is chosen only if no other upstream is left.
    bool lastChoice = false;
};

/// Extra executions that a service may get, beside the share that each primary adds.
struct ExtraLoadLimit
{
    double burst = ExtraLoadBudget::Capacity;
    /// Whether upstreams count arrivals: once one attempt has arrived, every retry takes a token,
    /// also after a refusal.
    bool chargeRefusals = false;
};

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
    /// Quantile of the observed latencies after which a hedge is sent.
    double hedgeQuantile = DefaultHedgeQuantile;
    double leastHedgeMedians = 2;
    /// By upstream name; an upstream without an entry has the defaults.
    std::map<std::string, UpstreamTraits> traits = {};
    std::optional<ExtraLoadLimit> extraLoad = {};
    /// Whether lost connections count as crashes of upstreams; see CrashTracker.
    bool crashTracking = true;
    /// An upstream whose recent latency exceeds this many hedge delays gets no hedges.
    double stragglerFactor = 1;
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

    /// A slow upstream is tried again after this time for the first time.
    static constexpr std::chrono::milliseconds FirstProbeTime{500};

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
    /// @param mayProbe whether an idle upstream is chosen first that was passed over ProbeInterval
    ///        times, or whose recent latency is high and was measured some time ago, so that a
    ///        slow one that has recovered is found. Only for work that may be hedged.
    Choice choose(std::uint64_t snapshot, const std::set<std::string> &excluded, TimePoint now,
                  bool mayProbe = false) const;

    /// @return whether any available upstream is below its limit.
    bool hasCapacity() const;

    /// @return when a cold upstream next accepts a request, if its rate holds it back now.
    std::optional<TimePoint> nextColdStart(TimePoint now) const;

    /// @return whether the use of an upstream costs more than that of a near one.
    bool isFar(const std::string &name) const;

    /// @return names of the available upstreams.
    std::vector<std::string> names() const;

    /// @return executions that all available upstreams may run at the same time.
    std::size_t totalLimit() const;

    /// @return median of the recent latencies of an upstream, if there are any.
    std::optional<Duration> recentLatency(const std::string &name) const;

    void onStarted(const std::string &name, TimePoint now = {});

    /// @param snapshot snapshot that the attempt asked for.
    /// @param latency time since the attempt was started.
    void onEnded(const std::string &name, const AttemptResult &result, std::uint64_t snapshot,
                 Duration latency, TimePoint now);

    std::vector<Row> rows() const;

private:
    struct Replica
    {
        Replica(protocol::HostRecord record, const UpstreamRamp &fresh)
            : host(std::move(record)),
              ramp(fresh)
        {
        }

        protocol::HostRecord host;
        UpstreamRamp ramp;
        bool available = true;
        std::uint32_t inFlight = 0;
        /// Executions that other upstreams got since the last one here.
        std::uint32_t passedOver = 0;
        RecentLatency recent;
        /// When it is tried again although its recent latency is high.
        std::optional<TimePoint> probeAt;
        /// Time until the next such try. An upstream that paused is back soon, and one that stays
        /// slow delays few requests.
        std::chrono::milliseconds probePause = FirstProbeTime;
        /// End of its last slow attempt.
        TimePoint slowAt = TimePoint::min();
        /// Not chosen before this time while another upstream is available.
        TimePoint avoidUntil{};
        /// Until when each snapshot is known to be missing.
        std::map<std::uint64_t, TimePoint> missing;
        UpstreamTraits traits;
        ColdRate cold;
        /// Starts of the attempts in flight, oldest first.
        std::deque<TimePoint> starts;
        TimePoint lastEnd{};
        std::uint32_t failuresInRow = 0;
        /// Part of the recent attempts without a usable answer, 0 to 1.
        double failureRate = 0;
        /// Until when the address counts as that of another upstream.
        TimePoint replacedUntil{};

        bool lacks(std::uint64_t snapshot, TimePoint now) const;
        bool isStalled(TimePoint now) const;
        bool isPreferred(TimePoint now) const;
        void avoid(TimePoint now);
        void recordOutcome(AttemptEnd end);
        void scheduleProbe(Duration latency, Duration lowest, TimePoint now);
    };

    /// @return the lowest recent latency of any upstream, which stands for unknown ones.
    Duration lowestLatency() const;
    /// @param latency that is expected of it.
    static double cost(const Replica &replica, Duration latency);
    /// @return the one of @p candidates, at least one, that gets the next work.
    const Replica &best(const std::vector<const Replica *> &candidates, TimePoint now,
                        bool mayProbe) const;

    std::map<std::string, Replica> replicas_;
};

} // namespace persimmon::state
