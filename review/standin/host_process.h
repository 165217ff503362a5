#pragma once

#include "review/standin/http_peer.h"

#include <sys/types.h>

namespace persimmon::review {

/// Places of the hosts of a deployment.
struct HostPlace
{
    std::string zone;
    std::string region;
};

/// A host of the system as a separate process, started with the command of the deploy file.
class HostProcess
{
public:
    /// Addresses that a host listens on.
    struct Addresses
    {
        SocketAddress front;
        SocketAddress ready;
        SocketAddress control;
        SocketAddress directory;
    };

    /// @param directory folder for its settings file and its log.
    HostProcess(int number, const std::string &directory, const std::string &ip, HostPlace place);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    const Addresses &addresses() const { return addresses_; }
    const HostPlace &place() const { return place_; }

    /// Writes the settings file and starts the process.
    /// @param places of all hosts.
    /// @return whether the process was started.
    bool start(const SocketAddress &store, const std::vector<std::string> &seeds,
               const std::vector<HostPlace> &places);

    /// @return whether the host says within @p limit that it is ready.
    bool waitUntilReady(std::chrono::milliseconds limit) const;

    void sendSignal(int signal) const;

    /// @return what the process has logged so far.
    std::string readLog() const;

private:
    std::string settings(const SocketAddress &store, const std::vector<std::string> &seeds,
                         const std::vector<HostPlace> &places) const;

    const int number_;
    const std::string settingsPath_;
    const std::string logPath_;
    const HostPlace place_;
    Addresses addresses_;
    pid_t process_ = -1;
};

/// @return the words of the command in the deploy file, or none if it has no command.
std::vector<std::string> readHostCommand(const std::string &deployFile);

/// @return a loopback network "127.N.0." on whose first @p count addresses the hosts can listen.
std::string findFreeNetwork(int count);

} // namespace persimmon::review
