#pragma once

#include "review/support/deployment.h"

namespace persimmon::review {

/// Exit status of a case.
enum class CaseResult { Held = 0, Broken = 1, NotRun = 2 };

/// Runs a case with the environment variable TROUBLE (0 leaves the disruption out).
/// @param arguments of main(): the path of the record.
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
