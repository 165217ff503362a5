#pragma once

#include "protocol/caller_messages.h"
#include "transport/latency_histogram.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <string>

namespace persimmon::load {

/// Aggregated results of the queries of one profile.
struct ProfileResults
{
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Queries to which no entry responded.
    std::uint64_t failed = 0;
    /// Number of queries by error name.
    std::map<std::string, std::uint64_t> errors;
    /// Number of done answers by coverage bucket; the key is the lower bound in percent.
    std::map<int, std::uint64_t> coverage;
    /// Sum of the coverage fractions of done answers.
    double coverageSum = 0;
    std::uint64_t executions = 0;
    /// Executions needed without retries and hedges.
    std::uint64_t neededExecutions = 0;
    transport::LatencyHistogram latency;
};

/// Results of one load test. Not thread-safe.
class LoadReport
{
public:
    /// Records an answer.
    /// @param latency time since the intended send time.
    void addAnswer(const std::string &profile, const protocol::QueryResponse &answer,
                   std::chrono::nanoseconds latency);

    /// Records a query to which no entry responded.
    /// @param reason error name under which it is counted.
    void addFailure(const std::string &profile, const std::string &reason);

    /// Records a duplicate with the same request id.
    /// @param first answer to the first request, or nullptr.
    /// @param second answer to the duplicate, or nullptr.
    void addDuplicate(const protocol::QueryResponse *first, const protocol::QueryResponse *second);

    /// Records a redirect to another entry.
    void addRedirect() { ++redirects_; }

    boost::json::object toJson() const;
    /// @return a text table for the terminal.
    std::string toTable() const;

private:
    ProfileResults &results(const std::string &profile);

    std::map<std::string, std::unique_ptr<ProfileResults>> profiles_;
    std::uint64_t duplicates_ = 0;
    std::uint64_t duplicatesSameItems_ = 0;
    std::uint64_t duplicatesDifferentItems_ = 0;
    std::uint64_t redirects_ = 0;
};

} // namespace persimmon::load
