#include "state/crash_evidence.h"

#include <xxhash.h>

#include <algorithm>

namespace persimmon::state {

namespace {

std::uint64_t hashOf(const std::string &name, std::uint64_t seed = 0)
{
    return XXH64(name.data(), name.size(), seed);
}

} // namespace

bool CrashEvidence::onLost(std::uint64_t fingerprint, const std::vector<LostUpstream> &upstreams,
                           TimePoint now)
{
    bool quarantined = false;
    for (const auto &upstream : upstreams) {
        CrashReport report;
        report.fingerprint = fingerprint;
        report.upstream = hashOf(upstream.name, upstream.incarnation);
        report.service = hashOf(upstream.service);
        report.repeated = upstream.repeated;
        report.timeLeft = SuspicionTime;
        quarantined = put(report, now) || quarantined;
    }
    return quarantined;
}

void CrashEvidence::onAnswered(std::uint64_t fingerprint, const std::string &service, TimePoint now)
{
    if (!suspects_.contains(fingerprint))
        return;
    const auto answered = hashOf(service);
    std::vector<CrashReport> cleared;
    reports_.forEach([&](const CrashReport &report) {
        if (report.fingerprint == fingerprint && report.service == answered && !report.cleared)
            cleared.push_back(report);
    });
    for (auto &report : cleared) {
        report.cleared = true;
        put(report, now);
    }
}

std::vector<std::uint64_t> CrashEvidence::merge(const std::vector<CrashReport> &reports,
                                                TimePoint now)
{
    std::vector<std::uint64_t> quarantined;
    for (auto report : reports) {
        const auto served = servedAt_.find(report.fingerprint);
        if (served != servedAt_.end() && now - served->second < ServedTime)
            report.cleared = true;
        if (report.timeLeft.count() > 0 && put(report, now))
            quarantined.push_back(report.fingerprint);
    }
    return quarantined;
}

bool CrashEvidence::put(const CrashReport &report, TimePoint now)
{
    const Key key{report.fingerprint, report.upstream};
    const auto *known = reports_.find(key);
    auto merged = report;
    if (known != nullptr) {
        merged.cleared = report.cleared || known->cleared;
        merged.repeated = report.repeated || known->repeated;
        if (merged.cleared == known->cleared && merged.repeated == known->repeated)
            return false;
    }
    if (!suspects_.contains(report.fingerprint))
        makeRoom();
    auto &suspect = suspects_[report.fingerprint];
    const bool wasQuarantined = suspect.isQuarantined();
    suspect.crashed.erase(report.upstream);
    suspect.repeated.erase(report.upstream);
    if (!merged.cleared)
        suspect.crashed.insert(report.upstream);
    if (!merged.cleared && merged.repeated)
        suspect.repeated.insert(report.upstream);
    const bool quarantined = suspect.isQuarantined() && !wasQuarantined;
    // A peer's report of a quarantine states its remaining time.
    Duration lifetime = report.timeLeft;
    if (quarantined && report.timeLeft <= SuspicionTime)
        lifetime = QuarantineTime;
    suspect.expiresAt = std::max(suspect.expiresAt, now + lifetime);
    reports_.put(key, merged, now);
    return quarantined;
}

std::size_t CrashEvidence::crashCount(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : found->second.crashed.size();
}

KnownCrashes CrashEvidence::knownCrashes(std::uint64_t fingerprint,
                                         const std::string &service) const
{
    KnownCrashes known;
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end())
        return known;
    known.count = found->second.crashed.size();
    known.repeated = !found->second.repeated.empty();
    const auto hash = hashOf(service);
    for (const auto upstream : found->second.crashed)
        known.inService =
                known.inService || reports_.find({fingerprint, upstream})->service == hash;
    return known;
}

std::optional<Duration> CrashEvidence::quarantineTimeLeft(std::uint64_t fingerprint,
                                                          TimePoint now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || !found->second.isQuarantined()
        || now >= found->second.expiresAt)
        return std::nullopt;
    return found->second.expiresAt - now;
}

std::vector<CrashReport> CrashEvidence::select(TimePoint now, bool all)
{
    auto selected = reports_.select(now, all);
    for (auto &report : selected) {
        const auto left = suspects_.at(report.fingerprint).expiresAt - now;
        report.timeLeft = std::chrono::duration_cast<std::chrono::seconds>(left);
    }
    std::erase_if(selected, [](const auto &report) { return report.timeLeft.count() <= 0; });
    return selected;
}

void CrashEvidence::expire(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (now >= suspect.expiresAt)
            expired.push_back(fingerprint);
    }
    for (const auto fingerprint : expired)
        erase(fingerprint);
    std::erase_if(servedAt_, [now](const auto &entry) { return now - entry.second >= ServedTime; });
}

void CrashEvidence::erase(std::uint64_t fingerprint)
{
    suspects_.erase(fingerprint);
    reports_.eraseIf(
            [fingerprint](const auto &report) { return report.fingerprint == fingerprint; });
}

void CrashEvidence::makeRoom()
{
    if (suspects_.size() < Capacity)
        return;
    // A quarantine expires later than a suspicion, so suspicions are given up first.
    const auto oldest = std::min_element(suspects_.begin(), suspects_.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.expiresAt < right.second.expiresAt;
                                         });
    erase(oldest->first);
}

} // namespace persimmon::state
