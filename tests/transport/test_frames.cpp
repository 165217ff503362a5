#include "transport/transport.h"

#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <future>

using namespace persimmon;
using namespace persimmon::transport;
using namespace std::chrono_literals;

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

const Endpoint AnyLoopback{asio::ip::make_address("127.0.0.1"), 0};

/// Records the frames and the close error of one connection.
struct Recorder
{
    std::mutex mutex;
    std::vector<std::string> frames;
    std::promise<TransportError> closed;

    void attach(FrameConnection &connection)
    {
        connection.start(
                [this](std::string frame) {
                    const std::lock_guard lock(mutex);
                    frames.push_back(std::move(frame));
                },
                [this](const TransportError &error) { closed.set_value(error); });
    }

    std::size_t count()
    {
        const std::lock_guard lock(mutex);
        return frames.size();
    }
};

FrameOptions fastOptions(std::chrono::milliseconds receiveTimeout = 200ms)
{
    FrameOptions options;
    options.heartbeatInterval = 20ms;
    options.receiveTimeout = receiveTimeout;
    return options;
}

void waitFor(const std::function<bool()> &condition)
{
    for (int i = 0; i < 5000 && !condition(); ++i)
        std::this_thread::sleep_for(1ms);
    CHECK(condition());
}

} // namespace

// Guards against frames that are merged, split or reordered.
TEST_CASE("frames are received complete and in order")
{
    Runtime runtime(2);
    Recorder received;
    std::shared_ptr<FrameConnection> accepted;
    FrameServer server(runtime, {}, [&](std::shared_ptr<FrameConnection> connection) {
        accepted = std::move(connection);
        received.attach(*accepted);
    });
    const auto endpoint = valueOf(server.listen(AnyLoopback));
    runtime.start();
    const auto client = asio::co_spawn(runtime.makeStrand(),
                                       connectFrames(runtime, endpoint, 5s, {}), asio::use_future)
                                .get();
    REQUIRE(isOk(client));
    Recorder sender;
    sender.attach(*valueOf(client));
    constexpr std::size_t Count = 300;
    for (std::size_t i = 0; i < Count; ++i)
        CHECK(valueOf(client)->send(std::string(i * 97, static_cast<char>('a' + i % 26))));
    waitFor([&] { return received.count() == Count; });
    const std::lock_guard lock(received.mutex);
    for (std::size_t i = 0; i < Count; ++i)
        CHECK(received.frames[i] == std::string(i * 97, static_cast<char>('a' + i % 26)));
}

// Guards against keeping a connection in use after the network path to the peer has failed.
TEST_CASE("a connection without received data is closed, one with heartbeats stays open")
{
    Runtime runtime(2);
    tcp::acceptor unresponsiveAcceptor(runtime.context(), AnyLoopback);
    Recorder acceptedRecorder;
    std::shared_ptr<FrameConnection> accepted;
    auto options = fastOptions();
    options.makeHeartbeat = [] { return std::string("beat"); };
    FrameServer server(runtime, options, [&](std::shared_ptr<FrameConnection> connection) {
        accepted = std::move(connection);
        acceptedRecorder.attach(*accepted);
    });
    const auto endpoint = valueOf(server.listen(AnyLoopback));
    runtime.start();
    const auto connect = [&](const Endpoint &target) {
        return valueOf(asio::co_spawn(runtime.makeStrand(),
                                      connectFrames(runtime, target, 5s, options), asio::use_future)
                               .get());
    };
    const auto active = connect(endpoint);
    const auto unresponsive = connect(unresponsiveAcceptor.local_endpoint());
    Recorder activeRecorder;
    Recorder unresponsiveRecorder;
    activeRecorder.attach(*active);
    unresponsiveRecorder.attach(*unresponsive);
    CHECK(unresponsiveRecorder.closed.get_future().get().code == TransportErrorCode::Timeout);
    CHECK_FALSE(unresponsive->send("late"));
    CHECK(active->isOpen());
    CHECK(activeRecorder.count() > 0);
}

// Guards against memory exhaustion by a frame header with a huge length.
TEST_CASE("a frame above the maximum size closes the connection")
{
    Runtime runtime(2);
    Recorder received;
    std::shared_ptr<FrameConnection> accepted;
    FrameServer server(runtime, {}, [&](std::shared_ptr<FrameConnection> connection) {
        accepted = std::move(connection);
        received.attach(*accepted);
    });
    const auto endpoint = valueOf(server.listen(AnyLoopback));
    runtime.start();
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpoint);
    asio::write(socket, asio::buffer(std::string("\x7f\xff\xff\xff", 4)));
    CHECK(received.closed.get_future().get().code == TransportErrorCode::TooLarge);
}

// Guards against a paused clock that follows real time, which would make tests depend on timing.
TEST_CASE("a sleep on a paused clock ends only when the clock is advanced")
{
    Runtime runtime(1);
    runtime.clock().pause();
    runtime.start();
    std::atomic<bool> ended = false;
    runtime.spawn([](Runtime &owner, std::atomic<bool> &flag) -> asio::awaitable<void> {
        co_await owner.clock().sleep(1h);
        flag = true;
    }(runtime, ended));
    std::this_thread::sleep_for(20ms);
    runtime.clock().advance(59min);
    std::this_thread::sleep_for(20ms);
    CHECK_FALSE(ended);
    runtime.clock().advance(1min);
    waitFor([&] { return ended.load(); });
}
