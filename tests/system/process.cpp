#include "tests/system/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace persimmon::tests {

Process::Process(std::vector<std::string> arguments, const std::string &logPath)
{
    std::vector<char *> argv;
    for (auto &argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    pid_ = fork();
    if (pid_ < 0)
        throw std::runtime_error("fork failed");
    if (pid_ > 0)
        return;
    // The kernel kills the child if the test process is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(127);
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      status_(other.status_)
{
}

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, -1);
        status_ = other.status_;
    }
    return *this;
}

void Process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void Process::kill()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
}

bool Process::waitForExit(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (isRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return !isRunning() && WIFEXITED(status_) && WEXITSTATUS(status_) == 0;
}

bool Process::isRunning()
{
    if (pid_ <= 0)
        return false;
    if (waitpid(pid_, &status_, WNOHANG) == 0)
        return true;
    pid_ = -1;
    return false;
}

std::size_t Process::peakMemoryBytes() const
{
    constexpr std::string_view Name = "VmHWM:";
    constexpr std::size_t BytesPerUnit = 1024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(Name))
            return std::stoul(line.substr(Name.size())) * BytesPerUnit;
    }
    return 0;
}

} // namespace persimmon::tests
