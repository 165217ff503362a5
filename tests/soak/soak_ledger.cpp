#include "tests/soak/soak_ledger.h"

#include "tests/support/raw_http.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <sstream>

namespace persimmon::tests {

namespace {

using std::chrono::milliseconds;

/// What the platform's pages promise, for this deployment's bounds.
constexpr milliseconds ContactTime{4000};
constexpr milliseconds DrainTime{3000};
constexpr milliseconds ApplyTime{3000};
constexpr milliseconds DowngradeTime{250};
constexpr int RecordsOfPart = 2;
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

int versionOf(const std::string &target)
{
    return target.starts_with("/v") ? std::atoi(target.c_str() + 2) : 0;
}

void SoakLedger::disturb(int host, Clock::time_point from, Clock::time_point to)
{
    const std::lock_guard lock(mutex_);
    disturbances_[host].push_back({from, to});
}

void SoakLedger::noteVersion()
{
    const std::lock_guard lock(mutex_);
    versionTimes_.push_back(Clock::now());
}

void SoakLedger::noteDrain(const std::string &upstream, Clock::time_point from,
                           Clock::time_point to)
{
    const std::lock_guard lock(mutex_);
    drains_.push_back({upstream, {from, to}});
}

void SoakLedger::noteArrival(const std::string &request, const std::string &upstream)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({request, upstream, Clock::now()});
}

void SoakLedger::report(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    broken_.push_back(line);
}

bool SoakLedger::isInTouch(int host, Clock::time_point from, Clock::time_point to) const
{
    const auto found = disturbances_.find(host);
    if (found == disturbances_.end())
        return true;
    return std::none_of(found->second.begin(), found->second.end(), [&](const Span &row) {
        return row.from <= to && from <= row.to + ContactTime;
    });
}

void SoakLedger::check(const Attempt &attempt, const std::string &response)
{
    const std::lock_guard lock(mutex_);
    attempts_.push_back(attempt);
    checkFinal(attempt);
    const int version = versionOf(attempt.target);
    if (version > 0)
        checkVersion(attempt, version);
    if (attempt.status != 200)
        return;
    if (version > 0 || attempt.target.starts_with("/g/"))
        checkGather(attempt, response);
    else
        checkSingle(attempt, response);
}

void SoakLedger::checkFinal(const Attempt &attempt)
{
    const bool isOverdue =
            attempt.status == 0 && attempt.endedAt - attempt.sentAt >= SoakTerms::FinalAnswer;
    if (isOverdue && isInTouch(attempt.host, attempt.sentAt, attempt.endedAt))
        broken_.push_back("CONFIG: no final answer to " + attempt.id + " after its deadline");
}

void SoakLedger::checkVersion(const Attempt &attempt, int version)
{
    auto &seen = seen_[{attempt.host, attempt.incarnation}];
    const auto host = "host " + std::to_string(attempt.host);
    // Each version drops the route of the last but one.
    const bool isRouted = static_cast<int>(versionTimes_.size()) <= version + 1;
    if (attempt.status == 404 && isRouted) {
        const auto written = versionTimes_.at(static_cast<std::size_t>(version - 1));
        if (attempt.sentAt > written + ApplyTime
            && isInTouch(attempt.host, written, attempt.endedAt))
            broken_.push_back("CONFIG: " + host + " does not know version "
                              + std::to_string(version));
        if (seen.version >= version && attempt.sentAt > seen.since + DowngradeTime)
            broken_.push_back("CONFIG: " + host + " went back from version "
                              + std::to_string(seen.version));
    }
    if (attempt.status != 404 && attempt.status != 0 && version > seen.version)
        seen = {version, attempt.endedAt};
}

void SoakLedger::checkSingle(const Attempt &attempt, const std::string &response)
{
    const std::string service = attempt.repeatable ? "look" : "pay";
    std::string body;
    for (int i = 0; i < RecordsOfPart; ++i)
        body += makeSoakRecord(service, attempt.id, i);
    const auto signature = service + "." + attempt.id;
    if (bodyOf(response) != body || fieldOf(response, "X-Response-Stamp") != signature)
        broken_.push_back("MIXED: " + attempt.id + " got " + response);
}

void SoakLedger::checkGather(const Attempt &attempt, const std::string &response)
{
    std::vector<std::string> records;
    std::set<std::string> parts;
    std::istringstream signatures(fieldOf(response, "X-Part-Stamps"));
    for (std::string signature; std::getline(signatures >> std::ws, signature, ',');) {
        const auto service = signature.substr(0, signature.find('.'));
        if (signature != service + "." + attempt.id || !parts.insert(service).second)
            broken_.push_back("MIXED: " + attempt.id + " has the signature " + signature);
        for (int i = 0; i < RecordsOfPart; ++i)
            records.push_back(makeSoakRecord(service, attempt.id, i));
    }
    std::sort(records.rbegin(), records.rend());
    std::string body;
    for (std::size_t i = 0; i < std::min<std::size_t>(records.size(), SoakTerms::TopRecords); ++i)
        body += records[i];
    const auto missing = std::atoi(fieldOf(response, "X-Missing-Parts").c_str());
    const auto count = static_cast<int>(parts.size());
    // At least half of the shards must be in.
    if (bodyOf(response) != body || count + missing != SoakTerms::Shards
        || count * 2 < SoakTerms::Shards)
        broken_.push_back("MIXED: " + attempt.id + " got " + response);
}

std::vector<std::string> SoakLedger::finish()
{
    const std::lock_guard lock(mutex_);
    checkRuns();
    checkDrains();
    return broken_;
}

void SoakLedger::checkRuns()
{
    /// Answers that promise that the request has not run.
    const std::set<int> promises{408, 421, 429, 503};
    std::map<std::string, int> runs;
    for (const auto &arrival : arrivals_)
        ++runs[arrival.request];
    for (const auto &attempt : attempts_) {
        const auto count = runs[attempt.id];
        if (attempt.repeatable)
            continue;
        if (count > 1)
            broken_.push_back("TWICE: " + attempt.id + " ran " + std::to_string(count) + " times");
        if (count > 0 && promises.contains(attempt.status))
            broken_.push_back("REFUSED: " + attempt.id + " ran, and was answered "
                              + std::to_string(attempt.status));
    }
}

void SoakLedger::checkDrains()
{
    std::map<std::string, int> hostOf;
    for (const auto &attempt : attempts_)
        hostOf[attempt.id] = attempt.host;
    for (const auto &[upstream, span] : drains_) {
        for (const auto &arrival : arrivals_) {
            const auto host = hostOf.find(arrival.request);
            const bool isLate = arrival.at > span.from + DrainTime && arrival.at < span.to;
            if (arrival.upstream == upstream && isLate && host != hostOf.end()
                && isInTouch(host->second, span.from, arrival.at))
                broken_.push_back("DRAIN: " + arrival.request + " reached " + upstream);
        }
    }
}

} // namespace persimmon::tests
