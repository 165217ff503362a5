#include "transport/frame_server.h"

#include "transport/acceptor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace persimmon::transport {

namespace {

constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept, so that exhausted file descriptors cause no busy loop.
constexpr std::chrono::milliseconds AcceptRetryDelay{10};

} // namespace

struct FrameServer::State
{
    Runtime &runtime;
    FrameOptions options;
    AcceptHandler onAccept;
    tcp::acceptor acceptor;
    std::atomic<bool> closed = false;

    static asio::awaitable<void> accept(std::shared_ptr<State> self);
};

asio::awaitable<void> FrameServer::State::accept(std::shared_ptr<State> self)
{
    while (!self->closed) {
        auto [error, socket] =
                co_await self->acceptor.async_accept(self->runtime.makeStrand(), AwaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            co_await self->runtime.clock().sleep(AcceptRetryDelay);
            continue;
        }
        self->onAccept(
                std::make_shared<FrameConnection>(self->runtime, std::move(socket), self->options));
    }
}

FrameServer::FrameServer(Runtime &runtime, FrameOptions options, AcceptHandler onAccept)
    : state_(new State{runtime, std::move(options), std::move(onAccept),
                       tcp::acceptor(runtime.makeStrand())})
{
}

FrameServer::~FrameServer()
{
    close();
}

TransportResult<Endpoint> FrameServer::listen(const Endpoint &endpoint)
{
    auto bound = openAcceptor(state_->acceptor, endpoint);
    if (isOk(bound))
        asio::co_spawn(state_->acceptor.get_executor(), State::accept(state_), asio::detached);
    return bound;
}

void FrameServer::close()
{
    state_->closed = true;
    asio::post(state_->acceptor.get_executor(), [state = state_] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

} // namespace persimmon::transport
