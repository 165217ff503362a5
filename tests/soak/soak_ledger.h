#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::tests {

/// What a soak run promises in time, and the shape of its deployment.
struct SoakTerms
{
    static constexpr int Shards = 4;
    static constexpr int TopRecords = 3;
    static constexpr std::chrono::milliseconds Deadline{1500};
    /// Half a second beyond the deadline, and the time that a busy machine takes to wake a caller.
    static constexpr std::chrono::milliseconds FinalAnswer = Deadline + std::chrono::seconds(1);
};

/// @return the record @p index that an upstream of @p service gives to a request.
std::string makeSoakRecord(const std::string &service, const std::string &request, int index);

/// What callers and upstreams of a soak run saw, and which promises that breaks. Thread-safe.
class SoakLedger
{
public:
    using Clock = std::chrono::steady_clock;

    /// What a caller sent and got.
    struct Attempt
    {
        std::string id;
        std::string target;
        int host = 0;
        /// Start of the host's process that the caller is connected to, from 1.
        int incarnation = 0;
        bool repeatable = true;
        Clock::time_point sentAt;
        Clock::time_point endedAt;
        /// 0 without an answer.
        int status = 0;
    };

    /// Notes that something is done to a host or to its way to the store.
    void disturb(int host, Clock::time_point from, Clock::time_point to);

    /// Notes that a new version of the configuration was written; they count from 1.
    void noteVersion();

    /// Notes that an upstream is registered as draining.
    void noteDrain(const std::string &upstream, Clock::time_point from, Clock::time_point to);

    /// Notes that a request runs at an upstream.
    void noteArrival(const std::string &request, const std::string &upstream);

    /// Checks one answer.
    /// @param response what the caller got; empty without an answer.
    void check(const Attempt &attempt, const std::string &response);

    /// Notes a broken promise.
    void report(const std::string &line);

    /// Checks what shows only at the end.
    /// @return the broken promises, a line each.
    std::vector<std::string> finish();

private:
    struct Span
    {
        Clock::time_point from;
        Clock::time_point to;
    };
    struct Arrival
    {
        std::string request;
        std::string upstream;
        Clock::time_point at;
    };
    struct Drain
    {
        std::string upstream;
        Span span;
    };
    /// Highest version that an incarnation has served, and when that was first seen.
    struct Seen
    {
        int version = 0;
        Clock::time_point since;
    };

    void checkFinal(const Attempt &attempt);
    void checkVersion(const Attempt &attempt, int version);
    void checkSingle(const Attempt &attempt, const std::string &response);
    void checkGather(const Attempt &attempt, const std::string &response);
    void checkRuns();
    void checkDrains();
    bool isInTouch(int host, Clock::time_point from, Clock::time_point to) const;

    std::mutex mutex_;
    std::map<int, std::vector<Span>> disturbances_;
    std::vector<Clock::time_point> versionTimes_;
    std::map<std::pair<int, int>, Seen> seen_;
    std::vector<Arrival> arrivals_;
    std::vector<Attempt> attempts_;
    std::vector<Drain> drains_;
    std::vector<std::string> broken_;
};

/// @return version in the target "/vN/q"; 0 for other targets.
int versionOf(const std::string &target);

} // namespace persimmon::tests
