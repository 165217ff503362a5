#pragma once

#include "protocol/caller_messages.h"
#include "transport/latency_histogram.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <string>

namespace persimmon::load {

/// Results of the queries of one profile.
struct ProfileResults
{
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Queries without any answer of an entry.
    std::uint64_t failed = 0;
    std::map<std::string, std::uint64_t> errors;
    /// Number of done answers with a coverage of at least the key, in percent.
    std::map<int, std::uint64_t> coverage;
    double coverageSum = 0;
    std::uint64_t executions = 0;
    std::uint64_t needed = 0;
    transport::LatencyHistogram latency;
};

/// Results of a run. Used by one thread.
class LoadReport
{
public:
    /// Counts an answer. @param latency time since the intended time of sending.
    void addAnswer(const std::string &profile, const protocol::QueryAnswer &answer,
                   std::chrono::nanoseconds latency);

    /// Counts a query that no entry answered.
    void addFailure(const std::string &profile, const std::string &reason);

    /// Counts a repetition with the same request id.
    /// @param first answer to the first request, if any.
    /// @param second answer to the repetition, if any.
    void addRepetition(const protocol::QueryAnswer *first, const protocol::QueryAnswer *second);

    void addRedirect() { ++redirects_; }

    boost::json::object toJson() const;
    /// @return a table for a terminal.
    std::string toTable() const;

private:
    ProfileResults &results(const std::string &profile);

    std::map<std::string, std::unique_ptr<ProfileResults>> profiles_;
    std::uint64_t repeated_ = 0;
    std::uint64_t repeatedAlike_ = 0;
    std::uint64_t repeatedDifferent_ = 0;
    std::uint64_t redirects_ = 0;
};

} // namespace persimmon::load
