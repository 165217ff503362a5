#include "coordination/coordination.h"

#include <doctest/doctest.h>

namespace asio = boost::asio;

using namespace persimmon;
using namespace persimmon::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after the store has accepted a change in which no upstream may get a request against it.
constexpr seconds DrainTime{3};

/// Address at which connections are accepted and nothing answers, as at a process that stands
/// still.
class SilentAddress
{
public:
    SilentAddress() : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {}

    std::string text() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
};

/// @return the time until a watch on @p peer ends.
milliseconds timeOfWatch(const std::string &peer)
{
    transport::Runtime runtime(1);
    state::MemberState self;
    self.control = "127.0.0.1:1";
    state::EntryMembership membership(self);
    PeerHooks peers;
    peers.source = [] { return state::StoreSource{}; };
    RecordFollower follower(runtime, StoreHooks{}, peers, RecordFollowerOptions{},
                            [](const auto & /*records*/) {});
    PeerExchange exchange(runtime, membership, follower, [] {});
    milliseconds time{0};
    runtime.spawn([&]() -> asio::awaitable<void> {
        const auto start = runtime.clock().now();
        const auto result = co_await exchange.watchPeer(peer, {});
        CHECK_FALSE(isOk(result));
        time = std::chrono::round<milliseconds>(runtime.clock().now() - start);
        runtime.requestStop();
    }());
    runtime.run();
    return time;
}

} // namespace

// Guards against a host that waits as long for its first message of a peer as for one of an earlier
// version, and so hears of changes too late if that peer stands still.
TEST_CASE("a peer that never answered is left in time")
{
    const SilentAddress silent;
    CHECK(timeOfWatch(silent.text()) < DrainTime);
}
