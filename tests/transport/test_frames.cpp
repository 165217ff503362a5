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

/// Collects what happens on one connection.
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

FrameOptions fastOptions(std::chrono::milliseconds silence = 200ms)
{
    FrameOptions options;
    options.heartbeatInterval = 20ms;
    options.silenceLimit = silence;
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
TEST_CASE("frames arrive whole and in order")
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

// Guards against a connection that stays in use although the path between its ends is dead.
TEST_CASE("a silent connection is closed, a connection with heartbeats stays")
{
    Runtime runtime(2);
    tcp::acceptor silent(runtime.context(), AnyLoopback);
    Recorder live;
    std::shared_ptr<FrameConnection> accepted;
    auto options = fastOptions();
    options.makeHeartbeat = [] { return std::string("beat"); };
    FrameServer server(runtime, options, [&](std::shared_ptr<FrameConnection> connection) {
        accepted = std::move(connection);
        live.attach(*accepted);
    });
    const auto endpoint = valueOf(server.listen(AnyLoopback));
    runtime.start();
    const auto connect = [&](const Endpoint &target) {
        return valueOf(asio::co_spawn(runtime.makeStrand(),
                                      connectFrames(runtime, target, 5s, options), asio::use_future)
                               .get());
    };
    const auto kept = connect(endpoint);
    const auto dead = connect(silent.local_endpoint());
    Recorder keptRecorder;
    Recorder deadRecorder;
    keptRecorder.attach(*kept);
    deadRecorder.attach(*dead);
    CHECK(deadRecorder.closed.get_future().get().code == TransportErrorCode::Timeout);
    CHECK_FALSE(dead->send("late"));
    CHECK(kept->isOpen());
    CHECK(keptRecorder.count() > 0);
}

// Guards against memory exhaustion by a peer that announces a huge frame.
TEST_CASE("a frame above the limit closes the connection")
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

// Guards against tests and daemons that disagree on time: a paused clock moves only by advance().
TEST_CASE("a paused clock wakes sleepers only when it is advanced")
{
    Runtime runtime(1);
    runtime.clock().pause();
    runtime.start();
    std::atomic<bool> woke = false;
    runtime.spawn([](Runtime &owner, std::atomic<bool> &flag) -> asio::awaitable<void> {
        co_await owner.clock().sleep(1h);
        flag = true;
    }(runtime, woke));
    std::this_thread::sleep_for(20ms);
    runtime.clock().advance(59min);
    std::this_thread::sleep_for(20ms);
    CHECK_FALSE(woke);
    runtime.clock().advance(1min);
    waitFor([&] { return woke.load(); });
}
