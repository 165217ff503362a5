#pragma once

#include "tests/system/cluster.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// Callers that follow locate answers and send one query after another until they are stopped.
class BackgroundLoad
{
public:
    /// @param cluster cluster that gets the load.
    /// @param body query to send; `caller` is filled in.
    /// @param callers number of concurrent callers.
    BackgroundLoad(Cluster &cluster, boost::json::object body, int callers);
    ~BackgroundLoad();

    /// Ends the load and waits for the running queries.
    void stop();

    /// @return number of answers by outcome and error, for example "done" or "not_run overloaded".
    std::map<std::string, int> outcomes();

    /// @return number of answers that are not "done".
    int failures();

    /// @return answers of all callers that are "done".
    int successes();

private:
    void run(int number);
    void count(const boost::json::value &answer);

    Cluster &cluster_;
    boost::json::object body_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::map<std::string, int> outcomes_;
    std::vector<std::thread> threads_;
};

} // namespace persimmon::tests
