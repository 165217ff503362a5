#pragma once

#include "core/core.h"

#include <boost/asio/awaitable.hpp>
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

namespace persimmon::tests {

/// What a FaultProxy does with connections.
enum class ProxyMode {
    Pass,
    /// Each piece of data waits for FaultProxy::DelayTime.
    Delay,
    /// Open and new connections are reset, as by a crashed process.
    Reset,
    /// Data towards the target waits until the mode changes, as in a partition of one direction.
    HoldToTarget,
    /// Data from the target waits until the mode changes.
    HoldFromTarget,
};

inline constexpr std::array<EnumName<ProxyMode>, 5> ProxyModeNames{{
        {ProxyMode::Pass, "pass"},
        {ProxyMode::Delay, "delay"},
        {ProxyMode::Reset, "reset"},
        {ProxyMode::HoldToTarget, "hold_to_target"},
        {ProxyMode::HoldFromTarget, "hold_from_target"},
}};

/// A loopback relay of TCP connections that misbehaves on command. Thread-safe; runs on a thread of
/// its own.
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

    void setMode(ProxyMode mode);

    /// Lets all open connections fall silent for good; new ones work.
    void silenceOpen();

    /// Relays new connections to another target, as if the address belonged to another process now.
    void setTarget(const std::string &target);

private:
    struct Relay;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> open(std::shared_ptr<Relay> relay);
    boost::asio::awaitable<void> pump(std::shared_ptr<Relay> relay, bool toTarget);
    void resetAll();

    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<ProxyMode> mode_ = ProxyMode::Pass;
    std::atomic<int> targetPort_;
    std::set<std::shared_ptr<Relay>> relays_;
    std::thread thread_;
};

} // namespace persimmon::tests
