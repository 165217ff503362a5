#pragma once

#include "state/crash_evidence.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state {

/// Whether an attempt may be sent.
enum class AttemptPermission {
    Granted,
    /// Not before the attempt that is running as a trial has ended.
    Wait,
    Withheld,
};

/// Bounds the upstreams that one request may crash while it is served, over all services that it
/// needs. Losses at several services at once may have a common cause, such as the loss of a failure
/// domain, so at the limit one attempt at a time is sent as a trial. Not thread-safe.
class CrashGuard
{
public:
    /// Asks for permission to send an attempt.
    /// @param knownCrashes CrashEvidence::crashCount() of the request before this client attempt.
    AttemptPermission decide(const std::string &service, std::size_t knownCrashes) const;

    /// Records that an attempt with permission is sent.
    void onStarted(const std::string &service);

    /// Records that the connection of an attempt was lost after the request was sent.
    void onLost(const LostUpstream &upstream);

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
    bool isLimitReached(std::size_t knownCrashes) const;
    bool endTrial(const std::string &service);

    std::vector<LostUpstream> lost_;
    std::set<std::string> answered_;
    /// Service of the attempt that is running as a trial; empty if there is none.
    std::string trial_;
    /// Whether a trial was lost.
    bool condemned_ = false;
};

} // namespace persimmon::state
