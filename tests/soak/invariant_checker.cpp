#include "tests/soak/invariant_checker.h"

#include "tests/support/raw_http.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <sstream>

namespace persimmon::tests {

namespace {

using std::chrono::milliseconds;

/// Limits that the documentation of the platform guarantees, for the bounds of this deployment.
/// ReconnectLimit is the time in which a host reaches the store again after a fault.
constexpr milliseconds ReconnectLimit{4000};
constexpr milliseconds DrainPropagationLimit{3000};
constexpr milliseconds ConfigPropagationLimit{3000};
constexpr milliseconds RollbackTolerance{250};
constexpr int RecordsPerPart = 2;
constexpr int RecordBytes = 16;

} // namespace

std::string makeSoakRecord(const std::string &service, const std::string &request, int index)
{
    std::mt19937_64 random(std::hash<std::string>{}(service + "|" + request) + index);
    std::string record;
    for (int i = 0; i < RecordBytes; ++i)
        record.push_back(static_cast<char>('a' + random() % 26));
    return record;
}

int configVersionOf(const std::string &target)
{
    return target.starts_with("/v") ? std::atoi(target.c_str() + 2) : 0;
}

void InvariantChecker::recordDisturbance(int host, Clock::time_point from, Clock::time_point to)
{
    const std::lock_guard lock(mutex_);
    disturbances_[host].push_back({from, to});
}

void InvariantChecker::recordConfigVersion()
{
    const std::lock_guard lock(mutex_);
    versionTimes_.push_back(Clock::now());
}

void InvariantChecker::recordDrain(const std::string &upstream, Clock::time_point from,
                                   Clock::time_point to)
{
    const std::lock_guard lock(mutex_);
    drains_.push_back({upstream, {from, to}});
}

void InvariantChecker::recordArrival(const std::string &request, const std::string &upstream)
{
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    arrivals_.push_back({request, upstream, now});
    firstArrivals_.try_emplace(request, now);
}

void InvariantChecker::reportViolation(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(line);
}

bool InvariantChecker::isUndisturbed(int host, Clock::time_point from, Clock::time_point to) const
{
    const auto found = disturbances_.find(host);
    if (found == disturbances_.end())
        return true;
    return std::none_of(found->second.begin(), found->second.end(), [&](const TimeRange &range) {
        return range.from <= to && from <= range.to + ReconnectLimit;
    });
}

void InvariantChecker::checkResponse(const Attempt &attempt, const std::string &response)
{
    const std::lock_guard lock(mutex_);
    attempts_.push_back(attempt);
    checkTimeout(attempt);
    const int version = configVersionOf(attempt.target);
    if (version > 0)
        checkConfigVersion(attempt, version);
    if (attempt.status != 200)
        return;
    if (version > 0 || attempt.target.starts_with("/g/"))
        checkGatheredResponse(attempt, response);
    else
        checkSingleResponse(attempt, response);
}

void InvariantChecker::checkTimeout(const Attempt &attempt)
{
    const bool hasTimedOut = attempt.status == 0
                             && attempt.endedAt - attempt.sentAt >= SoakParameters::ResponseTimeout;
    if (hasTimedOut && isUndisturbed(attempt.host, attempt.sentAt, attempt.endedAt))
        violations_.push_back("CONFIG: no response to " + attempt.id + " after its deadline");
}

void InvariantChecker::checkConfigVersion(const Attempt &attempt, int version)
{
    auto &observed = observedVersions_[{attempt.host, attempt.incarnation}];
    const auto host = "host " + std::to_string(attempt.host);
    // Each version removes the route of the version before the previous one.
    const bool hasRoute = static_cast<int>(versionTimes_.size()) <= version + 1;
    if (attempt.status == 404 && hasRoute) {
        const auto writtenAt = versionTimes_.at(static_cast<std::size_t>(version - 1));
        if (attempt.sentAt > writtenAt + ConfigPropagationLimit
            && isUndisturbed(attempt.host, writtenAt, attempt.endedAt))
            violations_.push_back("CONFIG: " + host + " does not serve version "
                                  + std::to_string(version));
        if (observed.version >= version && attempt.sentAt > observed.since + RollbackTolerance)
            violations_.push_back("CONFIG: " + host + " reverted from version "
                                  + std::to_string(observed.version));
    }
    // A refusal doesn't show a version: a starting host sends 503 before it has a configuration.
    const auto arrival = firstArrivals_.find(attempt.id);
    if (arrival != firstArrivals_.end() && version > observed.version)
        observed = {version, arrival->second};
}

void InvariantChecker::checkSingleResponse(const Attempt &attempt, const std::string &response)
{
    const std::string service = attempt.idempotent ? "look" : "pay";
    std::string body;
    for (int i = 0; i < RecordsPerPart; ++i)
        body += makeSoakRecord(service, attempt.id, i);
    const auto stamp = service + "." + attempt.id;
    if (bodyOf(response) != body || fieldOf(response, "X-Response-Stamp") != stamp)
        violations_.push_back("MIXED: " + attempt.id + " got the response " + response);
}

void InvariantChecker::checkGatheredResponse(const Attempt &attempt, const std::string &response)
{
    std::vector<std::string> records;
    std::set<std::string> parts;
    std::istringstream stamps(fieldOf(response, "X-Part-Stamps"));
    for (std::string stamp; std::getline(stamps >> std::ws, stamp, ',');) {
        const auto service = stamp.substr(0, stamp.find('.'));
        if (stamp != service + "." + attempt.id || !parts.insert(service).second)
            violations_.push_back("MIXED: " + attempt.id + " has the part stamp " + stamp);
        for (int i = 0; i < RecordsPerPart; ++i)
            records.push_back(makeSoakRecord(service, attempt.id, i));
    }
    std::sort(records.rbegin(), records.rend());
    std::string body;
    for (std::size_t i = 0; i < std::min<std::size_t>(records.size(), SoakParameters::TopK); ++i)
        body += records[i];
    const auto missing = std::atoi(fieldOf(response, "X-Missing-Parts").c_str());
    const auto count = static_cast<int>(parts.size());
    // The min_fraction of 0.5 requires responses of at least half of the shards.
    if (bodyOf(response) != body || count + missing != SoakParameters::Shards
        || count * 2 < SoakParameters::Shards)
        violations_.push_back("MIXED: " + attempt.id + " got the response " + response);
}

std::vector<std::string> InvariantChecker::finish()
{
    const std::lock_guard lock(mutex_);
    checkExecutions();
    checkDrains();
    return violations_;
}

void InvariantChecker::checkExecutions()
{
    // Statuses that guarantee that the request was not executed.
    const std::set<int> notExecutedStatuses{408, 421, 429, 503};
    std::map<std::string, int> executions;
    for (const auto &arrival : arrivals_)
        ++executions[arrival.request];
    for (const auto &attempt : attempts_) {
        const auto count = executions[attempt.id];
        if (attempt.idempotent)
            continue;
        if (count > 1)
            violations_.push_back("DUPLICATE: " + attempt.id + " was executed "
                                  + std::to_string(count) + " times");
        if (count > 0 && notExecutedStatuses.contains(attempt.status))
            violations_.push_back("REFUSED: " + attempt.id + " was executed but got status "
                                  + std::to_string(attempt.status));
    }
}

void InvariantChecker::checkDrains()
{
    std::map<std::string, int> hostOf;
    for (const auto &attempt : attempts_)
        hostOf[attempt.id] = attempt.host;
    for (const auto &[upstream, range] : drains_) {
        for (const auto &arrival : arrivals_) {
            const auto host = hostOf.find(arrival.request);
            const bool isAfterPropagation =
                    arrival.at > range.from + DrainPropagationLimit && arrival.at < range.to;
            if (arrival.upstream == upstream && isAfterPropagation && host != hostOf.end()
                && isUndisturbed(host->second, range.from, arrival.at))
                violations_.push_back("DRAIN: " + arrival.request + " reached " + upstream);
        }
    }
}

} // namespace persimmon::tests
