#include "load/load_report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace json = boost::json;

namespace persimmon::load {

namespace {

/// Lower bounds of the coverage buckets in percent, in descending order.
constexpr std::array<int, 7> CoverageThresholds{100, 99, 95, 90, 50, 1, 0};

int coverageBucket(double fraction)
{
    const auto *const found =
            std::find_if(CoverageThresholds.begin(), CoverageThresholds.end(),
                         [&](int threshold) { return fraction * 100 >= threshold; });
    return found == CoverageThresholds.end() ? 0 : *found;
}

double milliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double extraLoad(const ProfileResults &results)
{
    if (results.neededExecutions == 0)
        return 0;
    return static_cast<double>(results.executions) / static_cast<double>(results.neededExecutions)
           - 1;
}

double meanCoverage(const ProfileResults &results)
{
    return results.done == 0 ? 0 : results.coverageSum / static_cast<double>(results.done);
}

json::object encodeResults(const ProfileResults &results)
{
    json::object errors;
    for (const auto &[name, count] : results.errors)
        errors[name] = count;
    json::object coverage;
    for (const auto &[threshold, count] : results.coverage)
        coverage[std::to_string(threshold)] = count;
    const auto quantile = [&](double fraction) {
        return milliseconds(results.latency.quantile(fraction));
    };
    return {{"sent", results.sent},
            {"done", results.done},
            {"not_run", results.notRun},
            {"unknown", results.unknown},
            {"failed", results.failed},
            {"errors", std::move(errors)},
            {"latency_ms", json::object{{"p50", quantile(0.5)},
                                        {"p95", quantile(0.95)},
                                        {"p99", quantile(0.99)},
                                        {"p999", quantile(0.999)}}},
            {"coverage_percent", std::move(coverage)},
            {"mean_coverage", meanCoverage(results)},
            {"executions", results.executions},
            {"needed_executions", results.neededExecutions},
            {"extra_load", extraLoad(results)}};
}

} // namespace

ProfileResults &LoadReport::results(const std::string &profile)
{
    auto &entry = profiles_[profile];
    if (!entry)
        entry = std::make_unique<ProfileResults>();
    return *entry;
}

void LoadReport::addAnswer(const std::string &profile, const protocol::QueryResponse &answer,
                           std::chrono::nanoseconds latency)
{
    auto &counts = results(profile);
    ++counts.sent;
    counts.executions += answer.executions;
    counts.latency.record(latency);
    if (answer.outcome == protocol::Outcome::Done) {
        ++counts.done;
        counts.neededExecutions += answer.coverage ? answer.coverage->shards : 1;
        const auto fraction = answer.coverage ? answer.coverage->fraction : 1.0;
        counts.coverageSum += fraction;
        ++counts.coverage[coverageBucket(fraction)];
        return;
    }
    ++(answer.outcome == protocol::Outcome::NotRun ? counts.notRun : counts.unknown);
    counts.neededExecutions += answer.coverage ? answer.coverage->shards : 0;
    if (answer.error != protocol::CallerError::None)
        ++counts.errors[std::string(protocol::callerErrorName(answer.error))];
}

void LoadReport::addFailure(const std::string &profile, const std::string &reason)
{
    auto &counts = results(profile);
    ++counts.sent;
    ++counts.failed;
    ++counts.errors[reason];
}

void LoadReport::addDuplicate(const protocol::QueryResponse *first,
                              const protocol::QueryResponse *second)
{
    ++duplicates_;
    if (first == nullptr || second == nullptr || first->outcome != protocol::Outcome::Done
        || second->outcome != protocol::Outcome::Done)
        return;
    ++(first->items == second->items ? duplicatesSameItems_ : duplicatesDifferentItems_);
}

json::object LoadReport::toJson() const
{
    json::object profiles;
    for (const auto &[name, counts] : profiles_)
        profiles[name] = encodeResults(*counts);
    return {{"profiles", std::move(profiles)},
            {"redirects", redirects_},
            {"repetitions", json::object{{"sent", duplicates_},
                                         {"same_items", duplicatesSameItems_},
                                         {"different_items", duplicatesDifferentItems_}}}};
}

std::string LoadReport::toTable() const
{
    std::string table = "profile               sent    done not_run unknown  failed"
                        "  p50 ms  p99 ms p999 ms coverage  extra\n";
    for (const auto &[name, counts] : profiles_) {
        std::array<char, 200> line{};
        std::snprintf(line.data(), line.size(),
                      "%-18s %7llu %7llu %7llu %7llu %7llu %7.1f %7.1f %7.1f  %6.2f%% %5.1f%%\n",
                      name.c_str(), static_cast<unsigned long long>(counts->sent),
                      static_cast<unsigned long long>(counts->done),
                      static_cast<unsigned long long>(counts->notRun),
                      static_cast<unsigned long long>(counts->unknown),
                      static_cast<unsigned long long>(counts->failed),
                      milliseconds(counts->latency.quantile(0.5)),
                      milliseconds(counts->latency.quantile(0.99)),
                      milliseconds(counts->latency.quantile(0.999)), meanCoverage(*counts) * 100,
                      extraLoad(*counts) * 100);
        table += line.data();
        for (const auto &[error, count] : counts->errors)
            table += "  " + error + ": " + std::to_string(count) + "\n";
    }
    if (duplicates_ > 0) {
        table += "repeated ids: " + std::to_string(duplicates_) + ", same items "
                 + std::to_string(duplicatesSameItems_) + ", different items "
                 + std::to_string(duplicatesDifferentItems_) + "\n";
    }
    return table;
}

} // namespace persimmon::load
