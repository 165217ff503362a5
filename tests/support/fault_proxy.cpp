#include "tests/support/fault_proxy.h"

#include <boost/asio.hpp>

#include <sys/socket.h>

#include <future>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace persimmon::tests {

namespace {

constexpr std::chrono::milliseconds HoldPollInterval{5};
constexpr std::size_t ChunkBytes = 16U * 1024U;
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

int parsePort(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

tcp::endpoint loopbackEndpoint(int port)
{
    return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(AsTuple);
}

} // namespace

/// Sockets of one relayed connection.
struct FaultProxy::RelayedConnection
{
    explicit RelayedConnection(tcp::socket socket)
        : caller(std::move(socket)),
          target(caller.get_executor())
    {
    }

    tcp::socket caller;
    tcp::socket target;
    bool stalled = false;
};

FaultProxy::FaultProxy(const std::string &target)
    : workGuard_(context_.get_executor()),
      acceptor_(context_, loopbackEndpoint(0)),
      endpoint_(acceptor_.local_endpoint()),
      targetPort_(parsePort(target))
{
    asio::co_spawn(context_, acceptConnections(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

FaultProxy::~FaultProxy()
{
    context_.stop();
    thread_.join();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(endpoint_.port());
}

void FaultProxy::setMode(ProxyMode mode)
{
    std::promise<void> applied;
    asio::post(context_, [this, mode, &applied] {
        applyMode(mode);
        applied.set_value();
    });
    applied.get_future().wait();
}

void FaultProxy::applyMode(ProxyMode mode)
{
    const bool accepts = mode != ProxyMode::Partition && mode != ProxyMode::PartitionRefusing
                         && mode != ProxyMode::RefuseNew;
    const bool accepted = acceptor_.is_open() && backlogFillers_.empty();
    mode_ = mode;
    if (mode == ProxyMode::Reset)
        resetAll();
    if (accepts && accepted)
        return;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    backlogFillers_.clear();
    if (mode == ProxyMode::PartitionRefusing || mode == ProxyMode::RefuseNew)
        return;
    acceptor_ = tcp::acceptor(context_, endpoint_);
    if (accepts)
        asio::co_spawn(context_, acceptConnections(), asio::detached);
    else
        fillBacklog();
}

void FaultProxy::fillBacklog()
{
    // The kernel accepts one connection more than the backlog.
    constexpr int FillerCount = 2;
    boost::system::error_code ignored;
    acceptor_.listen(0, ignored);
    for (int i = 0; i < FillerCount; ++i) {
        backlogFillers_.emplace_back(context_, tcp::v4());
        backlogFillers_.back().non_blocking(true, ignored);
        // A connect of Asio would wait for the kernel to accept the connection. This one is in
        // progress when it returns.
        static_cast<void>(::connect(backlogFillers_.back().native_handle(), endpoint_.data(),
                                    endpoint_.size()));
    }
}

bool FaultProxy::isHeld(bool toTarget) const
{
    const auto mode = mode_.load();
    return mode == (toTarget ? ProxyMode::HoldToTarget : ProxyMode::HoldFromTarget)
           || mode == ProxyMode::Partition || mode == ProxyMode::PartitionRefusing;
}

void FaultProxy::stallOpenConnections()
{
    asio::post(context_, [this] {
        for (const auto &connection : connections_)
            connection->stalled = true;
    });
}

void FaultProxy::setTarget(const std::string &target)
{
    targetPort_ = parsePort(target);
}

void FaultProxy::resetAll()
{
    for (const auto &connection : connections_) {
        resetSocket(connection->caller);
        resetSocket(connection->target);
    }
    connections_.clear();
}

asio::awaitable<void> FaultProxy::acceptConnections()
{
    while (true) {
        auto [error, socket] = co_await acceptor_.async_accept(AsTuple);
        if (error)
            co_return;
        if (mode_ == ProxyMode::Reset) {
            resetSocket(socket);
            continue;
        }
        auto connection = std::make_shared<RelayedConnection>(std::move(socket));
        connections_.insert(connection);
        asio::co_spawn(context_, connectToTarget(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::connectToTarget(std::shared_ptr<RelayedConnection> connection)
{
    const auto [error] =
            co_await connection->target.async_connect(loopbackEndpoint(targetPort_), AsTuple);
    if (error) {
        resetSocket(connection->caller);
        connections_.erase(connection);
        co_return;
    }
    boost::system::error_code ignored;
    connection->caller.set_option(tcp::no_delay(true), ignored);
    connection->target.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(context_, relayData(connection, true), asio::detached);
    co_await relayData(connection, false);
    connections_.erase(connection);
}

asio::awaitable<void> FaultProxy::relayData(std::shared_ptr<RelayedConnection> connection,
                                            bool toTarget)
{
    auto &from = toTarget ? connection->caller : connection->target;
    auto &into = toTarget ? connection->target : connection->caller;
    std::vector<char> chunk(ChunkBytes);
    while (true) {
        const auto [error, count] = co_await from.async_read_some(asio::buffer(chunk), AsTuple);
        if (mode_ == ProxyMode::Delay)
            co_await sleepFor(DelayTime);
        while (isHeld(toTarget) || connection->stalled)
            co_await sleepFor(HoldPollInterval);
        boost::system::error_code ignored;
        if (error) {
            // A reset is propagated as a reset, so that the other side sees the same error as
            // without the proxy.
            if (error == asio::error::connection_reset)
                resetSocket(into);
            else
                into.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        const auto [writeError, written] =
                co_await asio::async_write(into, asio::buffer(chunk.data(), count), AsTuple);
        if (writeError) {
            from.shutdown(tcp::socket::shutdown_receive, ignored);
            co_return;
        }
    }
}

} // namespace persimmon::tests
