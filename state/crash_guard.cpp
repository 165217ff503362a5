#include "state/crash_guard.h"

#include <algorithm>

namespace persimmon::state {

AttemptPermission CrashGuard::decide(const std::string &service, std::size_t knownCrashes) const
{
    if (condemned_)
        return AttemptPermission::Withheld;
    if (!isLimitReached(knownCrashes))
        return AttemptPermission::Granted;
    if (knownCrashes > 0 || lossCount(service) > 1)
        return AttemptPermission::Withheld;
    return trial_.empty() ? AttemptPermission::Granted : AttemptPermission::Wait;
}

bool CrashGuard::isLimitReached(std::size_t knownCrashes) const
{
    return knownCrashes + unansweredLosses().size() >= CrashEvidence::CrashLimit;
}

void CrashGuard::onStarted(const std::string &service)
{
    if (isLimitReached(0))
        trial_ = service;
}

void CrashGuard::onLost(const LostUpstream &upstream)
{
    condemned_ = endTrial(upstream.service) || condemned_;
    const bool isKnown = std::any_of(lost_.begin(), lost_.end(), [&upstream](const auto &lost) {
        return lost.name == upstream.name && lost.incarnation == upstream.incarnation;
    });
    if (!isKnown)
        lost_.push_back(upstream);
}

void CrashGuard::onAnswered(const std::string &service)
{
    endTrial(service);
    answered_.insert(service);
}

void CrashGuard::onEnded(const std::string &service)
{
    endTrial(service);
}

bool CrashGuard::endTrial(const std::string &service)
{
    if (trial_ != service || service.empty())
        return false;
    trial_.clear();
    return true;
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
