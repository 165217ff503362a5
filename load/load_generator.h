#pragma once

#include "load/entry_locator.h"
#include "load/load_report.h"
#include "load/profile_mix.h"

#include <functional>

namespace persimmon::load {

/// Settings of one load test.
struct LoadSettings
{
    /// Entries that locate requests are sent to.
    std::vector<transport::Endpoint> entries;
    /// Queries per second.
    double rate = 10;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
    /// Maximum number of connections to entries.
    std::size_t connections = 64;
    /// Number of distinct callers.
    int callers = 50;
    /// Sends each non-repeatable request twice with the same request id.
    bool duplicateRequests = false;
};

/// Open-loop load generator: queries are sent as a Poisson process whose send times do not depend
/// on the responses. Not thread-safe: the runtime must have one thread.
class LoadGenerator
{
public:
    LoadGenerator(transport::Runtime &runtime, LoadSettings settings, ProfileMix mix);

    /// Sends queries for the configured duration and waits until all of them are completed.
    boost::asio::awaitable<void> run();

    const LoadReport &report() const { return report_; }

private:
    /// One query and, with duplicateRequests, its duplicate.
    struct Query
    {
        const WeightedProfile *profile = nullptr;
        std::string caller;
        std::string text;
        std::string key;
        /// Sequence number in this run.
        std::uint64_t number = 0;
        /// Send time according to the schedule; latencies are measured from it.
        transport::TimePoint intended;
        std::string requestId;
        std::optional<protocol::QueryResponse> answer;
        std::optional<protocol::QueryResponse> duplicate;
        bool duplicated = false;
        /// Requests (the query and its duplicate) that have not completed yet.
        int pendingRequests = 1;
    };
    using QueryPointer = std::shared_ptr<Query>;

    QueryPointer makeQuery(std::uint64_t number, transport::TimePoint intended);
    boost::asio::awaitable<void> runQuery(QueryPointer query);
    boost::asio::awaitable<void> sendDuplicate(QueryPointer query);
    /// Locates the caller's entry. If the query is non-repeatable and has no request id, assigns
    /// one that contains the home of that entry.
    boost::asio::awaitable<LoadResult<EntryLocation>> locate(QueryPointer query);
    boost::asio::awaitable<LoadResult<protocol::QueryResponse>> sendWithRetries(QueryPointer query);
    boost::asio::awaitable<LoadResult<protocol::QueryResponse>> sendTo(QueryPointer query,
                                                                       EntryLocation location);
    static transport::HttpRequest makeRequest(const Query &query);
    void finishRequest(const QueryPointer &query);

    transport::Runtime &runtime_;
    LoadSettings settings_;
    ProfileMix mix_;
    ConnectionPool pool_;
    EntryLocator locator_;
    LoadReport report_;
    std::mt19937_64 random_;
    /// Makes request ids unique across runs with the same home and seed.
    std::string runId_;
    std::uint64_t activeQueries_ = 0;
};

} // namespace persimmon::load
