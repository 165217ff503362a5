#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace persimmon::tests {

/// A child process of the test; killed and reaped at the end of its scope.
class Process
{
public:
    /// Starts a program.
    /// @param arguments path of the program and its arguments.
    /// @param logPath file that receives standard output and standard error.
    Process(std::vector<std::string> arguments, const std::string &logPath);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Sends a signal, for example SIGSTOP.
    void signal(int number) const;

    /// Kills the process at once and reaps it.
    void kill();

    /// Waits for the process to end by itself.
    /// @return whether it ended with status 0 within @p limit.
    bool waitForExit(std::chrono::milliseconds limit);

    bool isRunning();

private:
    pid_t pid_ = -1;
    int status_ = -1;
};

} // namespace persimmon::tests
