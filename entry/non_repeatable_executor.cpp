#include "entry/non_repeatable_executor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::CallerError;
using protocol::QueryAnswer;
using state::Admission;

/// A duplicate request that waits for the running one.
struct NonRepeatableExecutor::Join
{
    explicit Join(const asio::any_io_executor &executor) : strand(executor), timer(executor) {}

    asio::any_io_executor strand;
    asio::steady_timer timer;
    std::optional<QueryAnswer> answer;
};

NonRepeatableExecutor::NonRepeatableExecutor(transport::Runtime &runtime, EntryIdentity identity,
                                             EntryHooks hooks, ExecuteQuery execute,
                                             std::uint16_t entryPort)
    : runtime_(runtime),
      identity_(std::move(identity)),
      hooks_(std::move(hooks)),
      execute_(std::move(execute)),
      entryPort_(entryPort),
      epochs_(identity_.started),
      store_(std::make_shared<state::IdempotencyStore>())
{
}

void NonRepeatableExecutor::dropExpired()
{
    store_->advance(epoch());
}

asio::awaitable<QueryAnswer> NonRepeatableExecutor::execute(protocol::QueryRequest request,
                                                            state::TimePoint arrival,
                                                            state::TimePoint deadline,
                                                            std::optional<QueryAnswer> refusal)
{
    if (!request.requestId)
        co_return protocol::makeRefusal(CallerError::RequestIdRequired,
                                        "a request that may not be repeated needs a request_id");
    const auto id = state::parseRequestId(*request.requestId);
    if (!id)
        co_return protocol::makeRefusal(CallerError::RequestIdInvalid,
                                        "request_id must be <home>:<unique>");
    if (id->home.host != identity_.host)
        co_return co_await forward(std::move(request), id->home.host, deadline);
    if (id->home.incarnation != identity_.incarnation)
        co_return protocol::makeRefusal(CallerError::HomeLost, "the home has restarted");
    const auto join = std::make_shared<Join>(co_await asio::this_coro::executor);
    const auto waiter = [join](const QueryAnswer &answer) {
        asio::post(join->strand, [join, answer] {
            join->answer = answer;
            join->timer.cancel();
        });
    };
    auto recorded = refusal;
    // A locate answer is valid for a short time only, so it is not replayed.
    if (recorded)
        recorded->home.reset();
    auto decision = store_->begin(id->home.epoch, id->unique, epoch(), waiter, recorded);
    switch (decision.admission) {
    case Admission::Start:
        co_return co_await start(std::move(request), *id, arrival);
    case Admission::Join:
        join->timer.expires_at(deadline);
        if (!join->answer)
            co_await join->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (join->answer)
            co_return *join->answer;
        co_return protocol::makeRefusal(CallerError::DeadlineExceeded, "the request still runs");
    case Admission::Replay:
        co_return decision.answer;
    case Admission::Expired:
        co_return protocol::makeRefusal(CallerError::EpochExpired, "the epoch has expired");
    case Admission::Future:
        co_return protocol::makeRefusal(CallerError::RequestIdInvalid, "the epoch is not reached");
    case Admission::Refused:
        co_return *refusal;
    case Admission::Full:
        break;
    }
    co_return protocol::makeRefusal(CallerError::Overloaded,
                                    "the home keeps no more request ids and has not "
                                    "recorded this one; use the same id again");
}

asio::awaitable<QueryAnswer> NonRepeatableExecutor::start(protocol::QueryRequest request,
                                                          state::RequestId id,
                                                          state::TimePoint arrival)
{
    const auto late = [store = store_, id](const QueryAnswer &answer) {
        store->finish(id.home.epoch, id.unique, answer);
    };
    auto answer = co_await execute_(std::move(request), arrival, late);
    store_->finish(id.home.epoch, id.unique, answer);
    co_return answer;
}

asio::awaitable<QueryAnswer> NonRepeatableExecutor::forward(protocol::QueryRequest request,
                                                            std::string host,
                                                            state::TimePoint deadline)
{
    // Every failure here is unknown: an earlier attempt may have run at the home.
    const auto lost = protocol::makeRefusal(CallerError::HomeLost, "the home is unreachable");
    const auto view = hooks_.view();
    if (!view || !view->entryHosts.contains(host))
        co_return lost;
    const auto endpoint = transport::parseEndpoint(view->entryHosts.at(host).address + ":"
                                                   + std::to_string(entryPort_));
    const auto left = deadline - runtime_.clock().now();
    if (!isOk(endpoint) || left <= transport::Duration::zero())
        co_return lost;
    request.deadline = std::chrono::ceil<std::chrono::milliseconds>(left);
    transport::HttpRequest post("POST", "/v1/query", protocol::encodeQueryRequest(request));
    const auto response =
            co_await transport::fetchOnce(runtime_, valueOf(endpoint), std::move(post), left);
    if (!isOk(response))
        co_return lost;
    auto answer = protocol::decodeQueryAnswer(valueOf(response).body);
    if (!isOk(answer))
        co_return lost;
    co_return takeValue(answer);
}

} // namespace persimmon::entry
