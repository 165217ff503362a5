#pragma once

#include "tests/system/cluster.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// Concurrent callers that send queries to the entries that locate returns, until they are stopped.
class BackgroundLoad
{
public:
    /// @param cluster cluster that receives the load.
    /// @param body query to send; the member `caller` is set for each caller.
    /// @param callers number of concurrent callers.
    BackgroundLoad(Cluster &cluster, boost::json::object body, int callers);
    ~BackgroundLoad();

    /// Stops the load and waits for the queries in flight.
    void stop();

    /// @return number of responses by outcome and error, for example "done" or "not_run
    /// overloaded".
    std::map<std::string, int> outcomes();

    /// @return number of responses with another outcome than "done", over all callers.
    int failures();

    /// @return number of responses with the outcome "done", over all callers.
    int successes();

private:
    void run(int number);
    void recordOutcome(const boost::json::value &answer);

    Cluster &cluster_;
    boost::json::object body_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::map<std::string, int> outcomes_;
    std::vector<std::thread> threads_;
};

} // namespace persimmon::tests
