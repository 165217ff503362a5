#pragma once

#include "load/load_report.h"
#include "load/locator.h"
#include "load/profile_mix.h"

#include <functional>

namespace persimmon::load {

/// Settings of one run.
struct LoadSettings
{
    std::vector<transport::Endpoint> entries;
    /// Queries per second.
    double rate = 10;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
    std::size_t connections = 64;
    /// Number of different callers.
    int callers = 50;
    /// Sends each non-repeatable request twice with the same id.
    bool pressTwice = false;
};

/// Open-loop load: queries are sent at random intended times that do not depend on the answers.
/// The runtime must have one thread, since no state here is locked.
class LoadGenerator
{
public:
    LoadGenerator(transport::Runtime &runtime, LoadSettings settings, ProfileMix mix);

    /// Runs until all queries are answered.
    boost::asio::awaitable<void> run();

    const LoadReport &report() const { return report_; }

private:
    /// One query and, with pressTwice, its repetition.
    struct Query
    {
        const WeightedProfile *profile = nullptr;
        std::string caller;
        std::string text;
        std::string key;
        std::uint64_t number = 0;
        transport::TimePoint intended;
        std::string requestId;
        std::optional<protocol::QueryAnswer> answer;
        std::optional<protocol::QueryAnswer> repetition;
        bool repeated = false;
        int unfinished = 1;
    };
    using QueryPointer = std::shared_ptr<Query>;

    QueryPointer makeQuery(std::uint64_t number, transport::TimePoint intended);
    boost::asio::awaitable<void> runQuery(QueryPointer query);
    boost::asio::awaitable<void> repeatQuery(QueryPointer query);
    /// Locates the caller's entry; the first location gives a non-repeatable query its id.
    boost::asio::awaitable<LoadResult<Location>> locate(QueryPointer query);
    boost::asio::awaitable<LoadResult<protocol::QueryAnswer>> ask(QueryPointer query);
    boost::asio::awaitable<LoadResult<protocol::QueryAnswer>> post(QueryPointer query,
                                                                   Location location);
    static transport::HttpRequest makeRequest(const Query &query);
    void finish(const QueryPointer &query);

    transport::Runtime &runtime_;
    LoadSettings settings_;
    ProfileMix mix_;
    ConnectionPool pool_;
    Locator locator_;
    LoadReport report_;
    std::mt19937_64 random_;
    /// Makes request ids unique among runs with the same home and seed.
    std::string runName_;
    std::uint64_t running_ = 0;
};

} // namespace persimmon::load
