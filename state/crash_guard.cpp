#include "state/crash_guard.h"

#include <algorithm>

namespace persimmon::state {

AttemptPermission CrashGuard::decide(const std::string &service, const KnownCrashes &known,
                                     TimePoint now) const
{
    const auto losses = lossCount(service);
    if (!isLimitReached(known))
        return AttemptPermission::Granted;
    const auto unanswered = unansweredLosses();
    const bool repeated = known.repeated
                          || std::any_of(unanswered.begin(), unanswered.end(),
                                         [](const auto &lost) { return lost.repeated; });
    if (repeated || losses > 1)
        return AttemptPermission::Withheld;
    if (losses == 0 && !known.inService)
        return AttemptPermission::Granted;
    const bool mayTry = trial_.empty() && now >= settledAt();
    return mayTry ? AttemptPermission::Granted : AttemptPermission::Wait;
}

bool CrashGuard::isLimitReached(const KnownCrashes &known) const
{
    return known.count + unansweredLosses().size() >= CrashEvidence::CrashLimit;
}

bool CrashGuard::isRepeated(const KnownCrashes &known, TimePoint now) const
{
    return known.count > 0 || (!lost_.empty() && now >= firstLossAt_ + SettleTime);
}

void CrashGuard::onStarted(const std::string &service, const KnownCrashes &known)
{
    if (isLimitReached(known) && (lossCount(service) > 0 || known.inService))
        trial_ = service;
}

void CrashGuard::onLost(const LostUpstream &upstream, TimePoint now)
{
    onEnded(upstream.service);
    firstLossAt_ = std::min(firstLossAt_, now);
    lastLossAt_ = now;
    const bool isKnown = std::any_of(lost_.begin(), lost_.end(), [&upstream](const auto &lost) {
        return lost.name == upstream.name && lost.incarnation == upstream.incarnation;
    });
    if (!isKnown)
        lost_.push_back(upstream);
}

void CrashGuard::onAnswered(const std::string &service)
{
    onEnded(service);
    answered_.insert(service);
}

void CrashGuard::onEnded(const std::string &service)
{
    if (trial_ == service)
        trial_.clear();
}

std::size_t CrashGuard::lossCount(const std::string &service) const
{
    return static_cast<std::size_t>(
            std::count_if(lost_.begin(), lost_.end(),
                          [&service](const auto &lost) { return lost.service == service; }));
}

std::vector<LostUpstream> CrashGuard::unansweredLosses() const
{
    std::vector<LostUpstream> unanswered;
    std::copy_if(lost_.begin(), lost_.end(), std::back_inserter(unanswered),
                 [this](const auto &lost) { return !answered_.contains(lost.service); });
    return unanswered;
}

} // namespace persimmon::state
