#include "tests/soak/fault_proxy.h"

#include <boost/asio.hpp>

#include <sys/socket.h>

#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace persimmon::tests {

namespace {

constexpr std::chrono::milliseconds HoldPoll{5};
constexpr std::size_t ChunkBytes = 16U * 1024U;
constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);

int portOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

tcp::endpoint loopback(int port)
{
    return {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)};
}

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(AwaitTuple);
}

} // namespace

/// The two ends of one relayed connection.
struct FaultProxy::Relay
{
    explicit Relay(tcp::socket socket) : caller(std::move(socket)), target(caller.get_executor()) {}

    tcp::socket caller;
    tcp::socket target;
    bool silent = false;
};

FaultProxy::FaultProxy(const std::string &target)
    : acceptor_(context_, loopback(0)),
      targetPort_(portOf(target))
{
    asio::co_spawn(context_, accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

FaultProxy::~FaultProxy()
{
    context_.stop();
    thread_.join();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FaultProxy::setMode(ProxyMode mode)
{
    mode_ = mode;
    if (mode == ProxyMode::Reset)
        asio::post(context_, [this] { resetAll(); });
}

void FaultProxy::silenceOpen()
{
    asio::post(context_, [this] {
        for (const auto &relay : relays_)
            relay->silent = true;
    });
}

void FaultProxy::setTarget(const std::string &target)
{
    targetPort_ = portOf(target);
}

void FaultProxy::resetAll()
{
    for (const auto &relay : relays_) {
        reset(relay->caller);
        reset(relay->target);
    }
    relays_.clear();
}

asio::awaitable<void> FaultProxy::accept()
{
    while (true) {
        auto [error, socket] = co_await acceptor_.async_accept(AwaitTuple);
        if (error)
            co_return;
        if (mode_ == ProxyMode::Reset) {
            reset(socket);
            continue;
        }
        auto relay = std::make_shared<Relay>(std::move(socket));
        relays_.insert(relay);
        asio::co_spawn(context_, open(std::move(relay)), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::open(std::shared_ptr<Relay> relay)
{
    const auto [error] = co_await relay->target.async_connect(loopback(targetPort_), AwaitTuple);
    if (error) {
        reset(relay->caller);
        relays_.erase(relay);
        co_return;
    }
    boost::system::error_code ignored;
    relay->caller.set_option(tcp::no_delay(true), ignored);
    relay->target.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(context_, pump(relay, true), asio::detached);
    co_await pump(relay, false);
    relays_.erase(relay);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Relay> relay, bool toTarget)
{
    auto &from = toTarget ? relay->caller : relay->target;
    auto &into = toTarget ? relay->target : relay->caller;
    const auto hold = toTarget ? ProxyMode::HoldToTarget : ProxyMode::HoldFromTarget;
    std::vector<char> chunk(ChunkBytes);
    while (true) {
        const auto [error, count] = co_await from.async_read_some(asio::buffer(chunk), AwaitTuple);
        if (mode_ == ProxyMode::Delay)
            co_await sleepFor(DelayTime);
        while (mode_ == hold || relay->silent)
            co_await sleepFor(HoldPoll);
        boost::system::error_code ignored;
        if (error) {
            // A reset stays one, so that the other side learns no less than without the proxy.
            if (error == asio::error::connection_reset)
                reset(into);
            else
                into.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        const auto [writeError, written] =
                co_await asio::async_write(into, asio::buffer(chunk.data(), count), AwaitTuple);
        if (writeError) {
            from.shutdown(tcp::socket::shutdown_receive, ignored);
            co_return;
        }
    }
}

} // namespace persimmon::tests
