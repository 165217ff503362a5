#pragma once

#include "state/decaying_latency_histogram.h"
#include "state/scheduler_actions.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmon::state {

/// Tells whether this host has lost its path to all upstreams, as opposed to some upstreams that
/// are down. Attempts that fail only raise a suspicion; trial connections to upstreams of several
/// failure domains decide. Not thread-safe.
class UpstreamReachability
{
public:
    /// Number of upstreams that must fail, with no success in between, to raise a suspicion.
    static constexpr std::size_t MinFailedUpstreams = 3;
    /// Time without a response of any upstream after which attempts in progress count as failed.
    static constexpr std::chrono::milliseconds SilenceTime{400};
    /// Interval between two rounds of trial connections.
    static constexpr std::chrono::milliseconds TrialInterval{500};
    /// Time after the return of the path in which the host takes back its requests, so that its new
    /// connections do not all reach the upstreams at the same moment.
    static constexpr std::chrono::milliseconds RecoveryTime{2000};

    /// Records that a request is sent to an upstream.
    void onAttemptStarted(const std::string &upstream, TimePoint now);

    /// Records the end of an attempt.
    void onAttemptEnded(const std::string &upstream, const AttemptResult &result, TimePoint now);

    /// @param countUpstreams returns the number of upstreams that may be used; called only if an
    ///        upstream has failed.
    /// @return whether trial connections should be opened now.
    bool isTrialDue(const std::function<std::size_t()> &countUpstreams, TimePoint now) const;

    /// Records the start of a round of trial connections.
    void onTrialStarted(TimePoint now) { trialAt_ = now; }

    /// Records the result of a round of trial connections.
    /// @param accepted whether any upstream accepted a connection.
    /// @return whether isLost() changed.
    bool onTrialEnded(bool accepted, TimePoint now);

    /// @return whether no upstream can be reached.
    bool isLost() const { return lostAt_.has_value(); }

    /// @return whether no upstream has responded for SilenceTime. While new connections are
    /// refused,
    ///         open ones may still work.
    bool isSilent(TimePoint now) const;

    /// @return the fraction of the requests that this host should serve itself, 0 to 1.
    double ownFraction(TimePoint now) const;

    /// @return the time since the path was lost; 0 if it is not.
    Duration lostTime(TimePoint now) const;

private:
    bool isSuspected(const std::function<std::size_t()> &countUpstreams, TimePoint now) const;

    /// Upstreams with an attempt that was started after the last response of any upstream, and the
    /// start of the first one.
    std::map<std::string, TimePoint> unanswered_;
    /// Upstreams that accepted no connection since one was last accepted by any upstream.
    std::set<std::string> unconnected_;
    std::optional<TimePoint> respondedAt_;
    std::optional<TimePoint> lostAt_;
    std::optional<TimePoint> restoredAt_;
    std::optional<TimePoint> trialAt_;
};

} // namespace persimmon::state
