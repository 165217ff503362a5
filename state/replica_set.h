#pragma once

#include "state/cold_start_limiter.h"
#include "state/extra_load_budget.h"
#include "state/recent_latency.h"
#include "state/scheduler_actions.h"
#include "state/service_timing.h"
#include "state/upstream_ramp.h"
#include "state/upstream_restrictions.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// Placement parameters of one upstream in addition to its host record.
struct UpstreamTraits
{
    /// Executions that this host may have in flight there; 0 for the share of the service.
    std::uint32_t limit = 0;
    /// Factor applied to its latency in the ranking; above 1 for a far upstream.
    double costFactor = 1;
    /// Time at which its warm-up ends.
    TimePoint coldUntil{};
    /// Requests that this host may send it per ColdStartLimiter::Window while it is cold;
    /// std::nullopt for no limit.
    std::optional<std::uint32_t> coldRate = {};
    /// Warm-up time after a restart that the service list does not show yet.
    Duration coldTime{};
    /// Whether it is chosen only if no other upstream is available.
    bool lastResort = false;
};

/// Limits of the extra executions of a service, in addition to the tokens that each primary adds.
struct ExtraLoadLimit
{
    double burst = ExtraLoadBudget::Capacity;
    /// Whether every retry after an attempt that reached an upstream consumes a token, even if that
    /// attempt was rejected. For upstreams that count arrivals.
    bool chargeRefusals = false;
};

/// Settings of one service that follow from the view.
struct ServiceSettings
{
    /// Upstreams that may receive new work.
    std::vector<protocol::HostRecord> available;
    /// Executions that this dispatcher may have in flight at one upstream.
    std::uint32_t share = 1;
    /// Executions that one upstream runs concurrently; equals the share of the first owner.
    std::uint32_t slots = 1;
    std::uint32_t coldLimit = 1;
    bool ramp = true;
    bool hedging = true;
    /// Quantile of the observed latencies after which a hedge is sent.
    double hedgeQuantile = DefaultHedgeQuantile;
    /// Minimum hedge delay in medians; see HedgePolicy::minMedians.
    double minHedgeMedians = 2;
    /// By upstream name; upstreams without an entry use the defaults.
    std::map<std::string, UpstreamTraits> traits = {};
    std::optional<ExtraLoadLimit> extraLoad = {};
    /// Whether lost connections count as crashes of upstreams; see CrashTracker.
    bool crashTracking = true;
    /// An upstream whose recent latency exceeds this many hedge delays receives no hedges.
    double stragglerFactor = 1;
    /// Whether upstreams reset connections beyond a limit that all hosts share. They then receive
    /// one attempt at a time until they have answered, and after they reset a new connection.
    bool sharedConnectionLimit = false;
};

/// @param slots executions that one upstream runs concurrently.
/// @param first whether this dispatcher ranks first for the service.
/// @return the number of slots that the dispatcher may use.
std::uint32_t slotShare(std::uint32_t slots, bool first);

/// Load balancer for the upstreams of one service: tracks their latency, load and failures, and
/// selects the upstream of each attempt.
class ReplicaSet
{
public:
    /// With one probe in 100 primaries, most queries over 20 shards still contain none.
    static constexpr std::uint32_t ProbeInterval = 100;

    /// Delay before a slow upstream is probed for the first time.
    static constexpr std::chrono::milliseconds InitialProbeDelay{500};

    /// Result category of choose().
    enum class Availability {
        Found,
        Busy,
        /// All upstreams have stated that they accept no request now.
        Restricted,
        SnapshotMissing,
        NoUpstream,
    };
    /// What an upstream is chosen for.
    struct Purpose
    {
        protocol::Priority priority = protocol::Priority::Critical;
        /// Whether to prefer an idle upstream that was skipped ProbeInterval times, or whose high
        /// recent latency is outdated, in order to detect its recovery. Only for work that may be
        /// hedged.
        bool mayProbe = false;
        /// Whether the request could do without it; upstreams with a request limit are left to
        /// others.
        bool optional = false;
    };
    struct Choice
    {
        Availability availability = Availability::NoUpstream;
        protocol::HostRecord upstream;
    };
    /// Status of one upstream for monitoring.
    struct UpstreamStatus
    {
        std::string name;
        bool available = false;
        std::uint32_t limit = 0;
        std::uint32_t share = 0;
        std::uint32_t inFlight = 0;
    };

    /// @param restrictions what the upstreams have stated; null for none.
    explicit ReplicaSet(std::shared_ptr<UpstreamRestrictions> restrictions = nullptr)
        : restrictions_(std::move(restrictions))
    {
    }

    void configure(const ServiceSettings &settings);

    /// Selects the upstream with the lowest recent latency, weighted by its utilization.
    /// @param excluded names of upstreams that must not be selected.
    Choice choose(std::uint64_t snapshot, const std::set<std::string> &excluded, TimePoint now,
                  const Purpose &purpose) const;
    Choice choose(std::uint64_t snapshot, const std::set<std::string> &excluded,
                  TimePoint now) const
    {
        return choose(snapshot, excluded, now, Purpose());
    }

    /// @return whether any available upstream is below its limit.
    bool hasCapacity() const;

    /// @return when a rate-limited cold upstream next accepts a request, or std::nullopt if none is
    ///         limited now.
    std::optional<TimePoint> nextColdStart(TimePoint now) const;

    /// @return when an upstream next accepts a request by what the upstreams have stated: at the
    ///         latest @p now if one accepts it now, or std::nullopt if no upstream is available.
    std::optional<TimePoint> nextAcceptedStart(protocol::Priority priority, TimePoint now) const;

    /// @return whether the cost factor of an upstream is above that of a near one.
    bool isFar(const std::string &name) const;

    /// @return names of the available upstreams.
    std::vector<std::string> names() const;

    /// @return combined concurrency limit of the available upstreams.
    std::size_t totalLimit() const;

    /// @return median recent latency of an upstream, or std::nullopt before the first sample.
    std::optional<Duration> recentLatency(const std::string &name) const;

    void onStarted(const std::string &name, TimePoint now = {});

    /// @param snapshot snapshot that the attempt requested.
    /// @param latency time since the start of the attempt.
    void onEnded(const std::string &name, const AttemptResult &result, std::uint64_t snapshot,
                 Duration latency, TimePoint now);

    std::vector<UpstreamStatus> statuses() const;

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
        /// Executions on other upstreams since the last one on this one.
        std::uint32_t skippedCount = 0;
        RecentLatency recent;
        /// When it is probed next despite its high recent latency.
        std::optional<TimePoint> probeAt;
        /// Delay of the next probe. Starts short, so that an upstream that only paused is used
        /// again soon, and grows, so that one that stays slow delays few requests.
        std::chrono::milliseconds probeDelay = InitialProbeDelay;
        /// End of its last slow attempt.
        TimePoint slowAt = TimePoint::min();
        /// Not selected before this time while another upstream is available.
        TimePoint avoidUntil{};
        /// Missing snapshots, with the expiry of that information.
        std::map<std::uint64_t, TimePoint> missing;
        UpstreamTraits traits;
        ColdStartLimiter cold;
        /// Start times of the attempts in flight, oldest first.
        std::deque<TimePoint> starts;
        TimePoint lastEnd{};
        std::uint32_t failuresInRow = 0;
        /// Fraction of the recent attempts without a usable answer, 0 to 1.
        double failureRate = 0;
        /// Whether it has answered an attempt.
        bool answered = false;
        /// End of SingleConnectionTime after it reset a new connection.
        TimePoint singleConnectionUntil{};
        /// Until this time the address is assumed to belong to another upstream.
        TimePoint replacedUntil{};

        bool isSnapshotMissing(std::uint64_t snapshot, TimePoint now) const;
        bool isStalled(TimePoint now) const;
        bool isPreferred(TimePoint now) const;
        void avoid(TimePoint now);
        void recordOutcome(AttemptEnd end);
        void scheduleProbe(Duration latency, Duration lowest, TimePoint now);
    };

    /// @return whether the upstream accepts a request for @p purpose by what it has stated.
    bool accepts(const Replica &replica, const Purpose &purpose, TimePoint now) const;
    /// @return whether new work may be sent to the upstream at all.
    bool isUsable(const Replica &replica, TimePoint now) const;
    /// @return maximum number of attempts in flight at @p replica.
    std::uint32_t limitOf(const Replica &replica, TimePoint now) const;
    /// @return the lowest recent latency of any upstream; assumed for upstreams without samples.
    Duration lowestLatency() const;
    /// @param latency expected latency of @p replica.
    /// @return ranking value; lower is better.
    static double cost(const Replica &replica, Duration latency);
    /// @param candidates at least one.
    /// @return the one to use for the next attempt.
    const Replica &best(const std::vector<const Replica *> &candidates, TimePoint now,
                        bool mayProbe) const;

    std::shared_ptr<UpstreamRestrictions> restrictions_;
    std::map<std::string, Replica> replicas_;
    /// See ServiceSettings::sharedConnectionLimit.
    bool sharedConnectionLimit_ = false;
};

} // namespace persimmon::state
