#pragma once

#include "review/deployment.h"

#include <atomic>

namespace persimmon::review {

/// Exit status of a case.
enum class CaseResult { Held = 0, Broken = 1, NotRun = 2 };

/// When a disruption is in force: for a time that the site file allows, once or several times.
/// Thread-safe.
class Recurrence
{
public:
    /// Time from begin() to the disruption.
    static constexpr std::chrono::milliseconds FirstDelay{1000};

    Recurrence(std::chrono::milliseconds length, std::chrono::milliseconds pause, int count)
        : length_(length),
          pause_(pause),
          count_(count)
    {
    }

    /// Called when the clients start. Before that, nothing is disrupted.
    void begin();

    bool isActive() const;

private:
    const std::chrono::milliseconds length_;
    const std::chrono::milliseconds pause_;
    const int count_;
    std::atomic<std::chrono::steady_clock::rep> startedAt_ = 0;
};

/// Runs a case. The arguments of main() are the path of the record and whether to disrupt (0 or 1).
/// @param play plays the case, given the record and whether to disrupt.
/// @return the exit status of the program.
int runCase(int argc, char **argv,
            const std::function<CaseResult(Record &record, bool trouble)> &play);

/// Requests that are not idempotent, as the clients and servers have seen them.
struct OnceReport
{
    std::size_t sent = 0;
    std::size_t runs = 0;
    /// Ids that ran more than once.
    std::vector<std::string> ranTwice;
    /// Ids that were answered with a status that promises that nothing ran, and have run.
    std::vector<std::string> refusedAndRun;
};

/// Compares the runs with the answers and writes what is wrong into the record.
OnceReport checkOnce(Record &record);

} // namespace persimmon::review
