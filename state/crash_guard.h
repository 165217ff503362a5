#pragma once

#include "state/crash_evidence.h"

#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// Whether an attempt may be sent.
enum class AttemptPermission {
    Granted,
    /// Not before the attempt that is running as a trial has ended, or not yet.
    Wait,
    Withheld,
};

/// Bounds the upstreams that one request may crash while it is served, over all services that it
/// needs. Losses at several services at once may have another cause, such as the loss of a failure
/// domain. At the limit, one attempt at a time is therefore sent as a trial to the services that
/// lost an upstream, and none after a trial was lost. Not thread-safe.
class CrashGuard
{
public:
    /// Time in which losses by one cause occur. A trial is sent only after it.
    static constexpr std::chrono::milliseconds SettleTime{30};

    /// Asks for permission to send an attempt.
    AttemptPermission decide(const std::string &service, const KnownCrashes &known,
                             TimePoint now) const;

    /// @return when the answer of decide() may change without an event.
    TimePoint settledAt() const { return lastLossAt_ + SettleTime; }

    /// Records that an attempt with permission is sent.
    void onStarted(const std::string &service, const KnownCrashes &known);

    /// @return whether an attempt that is sent now follows earlier losses of the request.
    bool isRepeated(const KnownCrashes &known, TimePoint now) const;

    /// Records that the connection of an attempt was lost after the request was sent.
    void onLost(const LostUpstream &upstream, TimePoint now);

    /// Records that an upstream answered.
    void onAnswered(const std::string &service);

    /// Records that an attempt ended otherwise.
    void onEnded(const std::string &service);

    /// @return all upstreams that were lost.
    const std::vector<LostUpstream> &lostUpstreams() const { return lost_; }

    /// @return the lost upstreams of services that have not answered.
    std::vector<LostUpstream> unansweredLosses() const;

    /// @return the services that have answered.
    const std::set<std::string> &answeredServices() const { return answered_; }

private:
    std::size_t lossCount(const std::string &service) const;
    bool isLimitReached(const KnownCrashes &known) const;

    std::vector<LostUpstream> lost_;
    std::set<std::string> answered_;
    /// Service of the attempt that is running as a trial; empty if there is none.
    std::string trial_;
    TimePoint firstLossAt_ = TimePoint::max();
    TimePoint lastLossAt_{};
};

} // namespace persimmon::state
