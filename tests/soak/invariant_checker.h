#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::tests {

/// Time limits of a soak run and the layout of its deployment.
struct SoakParameters
{
    static constexpr int Shards = 4;
    static constexpr int TopK = 3;
    static constexpr std::chrono::milliseconds Deadline{1500};
    /// The deadline, the 0.5 s after it within which a host must respond, and 0.5 s of scheduling
    /// delay on a busy machine.
    static constexpr std::chrono::milliseconds ResponseTimeout = Deadline + std::chrono::seconds(1);
};

/// @return record @p index of the response of @p service to @p request; the same for every upstream
/// of the service.
std::string makeSoakRecord(const std::string &service, const std::string &request, int index);

/// Records what callers and upstreams of a soak run observe and checks it against the invariants of
/// the platform. Thread-safe.
class InvariantChecker
{
public:
    using Clock = std::chrono::steady_clock;

    /// One request of a caller and the status of its response.
    struct Attempt
    {
        std::string id;
        std::string target;
        int host = 0;
        /// Number of the start of the host process that the caller is connected to, counted from 1.
        int incarnation = 0;
        bool idempotent = true;
        Clock::time_point sentAt;
        Clock::time_point endedAt;
        /// HTTP status; 0 without a response.
        int status = 0;
    };

    /// Records a fault of a host or of its connection to the store.
    void recordDisturbance(int host, Clock::time_point from, Clock::time_point to);

    /// Records that the next version of the configuration was written. Versions count from 1.
    void recordConfigVersion();

    /// Records the time during which an upstream is registered as draining.
    void recordDrain(const std::string &upstream, Clock::time_point from, Clock::time_point to);

    /// Records that a request arrived at an upstream, which executes it.
    void recordArrival(const std::string &request, const std::string &upstream);

    /// Checks the response to one request.
    /// @param response response as received; empty without a response.
    void checkResponse(const Attempt &attempt, const std::string &response);

    /// Records the violation of an invariant.
    void reportViolation(const std::string &line);

    /// Checks the invariants that need the observations of the whole run.
    /// @return all violations, one line each.
    std::vector<std::string> finish();

private:
    struct TimeRange
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
        TimeRange range;
    };
    /// Highest version of which an upstream has seen the effect, and since when.
    struct ObservedVersion
    {
        int version = 0;
        Clock::time_point since;
    };

    void checkTimeout(const Attempt &attempt);
    void checkConfigVersion(const Attempt &attempt, int version);
    void checkSingleResponse(const Attempt &attempt, const std::string &response);
    void checkGatheredResponse(const Attempt &attempt, const std::string &response);
    void checkExecutions();
    void checkDrains();
    bool isUndisturbed(int host, Clock::time_point from, Clock::time_point to) const;

    std::mutex mutex_;
    std::map<int, std::vector<TimeRange>> disturbances_;
    std::vector<Clock::time_point> versionTimes_;
    std::map<std::pair<int, int>, ObservedVersion> observedVersions_;
    std::vector<Arrival> arrivals_;
    /// By request id.
    std::map<std::string, Clock::time_point> firstArrivals_;
    std::vector<Attempt> attempts_;
    std::vector<Drain> drains_;
    std::vector<std::string> violations_;
};

/// @return configuration version N of the target "/vN/q"; 0 for other targets.
int configVersionOf(const std::string &target);

} // namespace persimmon::tests
