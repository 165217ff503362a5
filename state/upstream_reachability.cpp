#include "state/upstream_reachability.h"

#include <algorithm>

namespace persimmon::state {

namespace {

/// @return whether the upstream sent a message, whatever its content.
bool hasResponded(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotWritten:
    case AttemptEnd::Lost:
    case AttemptEnd::TimedOut:
    case AttemptEnd::Cancelled:
    case AttemptEnd::Withheld:
        return false;
    default:
        return true;
    }
}

/// @return whether the upstream accepted a connection for the attempt or after it, or std::nullopt
///         if none was opened or its fate is unknown.
std::optional<bool> hasAccepted(const AttemptResult &result)
{
    if (result.end == AttemptEnd::NotWritten)
        return result.newConnection ? std::optional(false) : std::nullopt;
    if (result.end == AttemptEnd::Lost)
        return result.acceptsConnections;
    // The connection number is 0 if the attempt ended before its connection was accepted.
    return result.newConnection && result.connection > 0 ? std::optional(true) : std::nullopt;
}

} // namespace

void UpstreamReachability::onAttemptStarted(const std::string &upstream, TimePoint now)
{
    unanswered_.try_emplace(upstream, now);
}

void UpstreamReachability::onAttemptEnded(const std::string &upstream, const AttemptResult &result,
                                          TimePoint now)
{
    if (hasResponded(result.end)) {
        unanswered_.clear();
        respondedAt_ = now;
    }
    const auto accepted = hasAccepted(result);
    if (!accepted)
        return;
    if (*accepted)
        unconnected_.clear();
    else
        unconnected_.insert(upstream);
}

bool UpstreamReachability::isSuspected(const std::function<std::size_t()> &countUpstreams,
                                       TimePoint now) const
{
    const auto silent = static_cast<std::size_t>(
            std::count_if(unanswered_.begin(), unanswered_.end(),
                          [now](const auto &entry) { return now - entry.second >= SilenceTime; }));
    const auto failed = std::max(unconnected_.size(), silent);
    if (failed == 0)
        return false;
    const auto known = countUpstreams();
    return known > 0 && failed >= std::min(MinFailedUpstreams, known);
}

bool UpstreamReachability::isTrialDue(const std::function<std::size_t()> &countUpstreams,
                                      TimePoint now) const
{
    if (trialAt_ && now - *trialAt_ < TrialInterval)
        return false;
    return isLost() || isSuspected(countUpstreams, now);
}

bool UpstreamReachability::isSilent(TimePoint now) const
{
    return !respondedAt_ || now - *respondedAt_ >= SilenceTime;
}

bool UpstreamReachability::onTrialEnded(bool accepted, TimePoint now)
{
    const bool wasLost = isLost();
    if (accepted) {
        unanswered_.clear();
        unconnected_.clear();
        if (wasLost)
            restoredAt_ = now;
        lostAt_.reset();
    } else if (!wasLost) {
        lostAt_ = now;
    }
    return wasLost != isLost();
}

double UpstreamReachability::ownFraction(TimePoint now) const
{
    if (isLost())
        return 0;
    if (!restoredAt_)
        return 1;
    const std::chrono::duration<double> time = now - *restoredAt_;
    return std::min(1.0, time / std::chrono::duration<double>(RecoveryTime));
}

Duration UpstreamReachability::lostTime(TimePoint now) const
{
    return lostAt_ ? now - *lostAt_ : Duration(0);
}

} // namespace persimmon::state
