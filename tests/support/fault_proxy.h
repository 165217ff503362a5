#pragma once

#include "core/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// How a FaultProxy treats the connections that it relays.
enum class ProxyMode {
    Pass,
    /// Each chunk of data is delayed by FaultProxy::DelayTime.
    Delay,
    /// Open and new connections are reset, as if the target process had crashed.
    Reset,
    /// Data towards the target is held back until the mode changes, as in a one-way partition.
    HoldToTarget,
    /// Data from the target is held back until the mode changes.
    HoldFromTarget,
    /// All data is held back, and new connections are not accepted, as in a partition.
    Partition,
    /// As Partition, but new connections are refused.
    PartitionRefusing,
    /// Open connections work, and new ones are refused.
    RefuseNew,
};

inline constexpr std::array<EnumName<ProxyMode>, 8> ProxyModeNames{{
        {ProxyMode::Pass, "pass"},
        {ProxyMode::Delay, "delay"},
        {ProxyMode::Reset, "reset"},
        {ProxyMode::HoldToTarget, "hold_to_target"},
        {ProxyMode::HoldFromTarget, "hold_from_target"},
        {ProxyMode::Partition, "partition"},
        {ProxyMode::PartitionRefusing, "partition_refusing"},
        {ProxyMode::RefuseNew, "refuse_new"},
}};

/// TCP relay on the loopback interface that injects connection faults. Thread-safe; runs on its own
/// thread.
class FaultProxy
{
public:
    static constexpr std::chrono::milliseconds DelayTime{120};

    /// @param target "127.0.0.1:port" that connections are relayed to.
    explicit FaultProxy(const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// @return "127.0.0.1:port" of this proxy.
    std::string address() const;

    /// Completes after the mode is in force.
    void setMode(ProxyMode mode);

    /// Stops relaying data on all open connections without closing them. New connections are not
    /// affected.
    void stallOpenConnections();

    /// Relays new connections to another target, as if another process had taken over the address.
    void setTarget(const std::string &target);

private:
    struct RelayedConnection;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> connectToTarget(std::shared_ptr<RelayedConnection> connection);
    boost::asio::awaitable<void> relayData(std::shared_ptr<RelayedConnection> connection,
                                           bool toTarget);
    void resetAll();
    void applyMode(ProxyMode mode);
    bool isHeld(bool toTarget) const;
    /// Makes the kernel ignore new connections: those that fill the backlog are never accepted.
    void fillBacklog();

    boost::asio::io_context context_{1};
    /// Keeps the thread running while the proxy accepts no connections.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const boost::asio::ip::tcp::endpoint endpoint_;
    std::vector<boost::asio::ip::tcp::socket> backlogFillers_;
    std::atomic<ProxyMode> mode_ = ProxyMode::Pass;
    std::atomic<int> targetPort_;
    std::set<std::shared_ptr<RelayedConnection>> connections_;
    std::thread thread_;
};

} // namespace persimmon::tests
