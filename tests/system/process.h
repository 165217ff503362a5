#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace persimmon::tests {

/// Child process of a test; killed and reaped by the destructor.
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

    /// Sends SIGKILL and reaps the process.
    void kill();

    /// Waits for the process to exit.
    /// @return whether it exited with status 0 within @p limit.
    bool waitForExit(std::chrono::milliseconds limit);

    bool isRunning();

    /// @return the largest resident memory that the running process has had, in bytes; 0 if it has
    ///         ended.
    std::size_t peakMemoryBytes() const;

private:
    pid_t pid_ = -1;
    int status_ = -1;
};

} // namespace persimmon::tests
