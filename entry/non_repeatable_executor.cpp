#include "entry/non_repeatable_executor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace persimmon::entry {

using protocol::CallerError;
using protocol::QueryResponse;
using state::Admission;

/// A duplicate request that waits for the answer to the running one.
struct NonRepeatableExecutor::DuplicateWaiter
{
    explicit DuplicateWaiter(const asio::any_io_executor &executor)
        : strand(executor),
          timer(executor)
    {
    }

    asio::any_io_executor strand;
    asio::steady_timer timer;
    std::optional<QueryResponse> answer;
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

asio::awaitable<QueryResponse> NonRepeatableExecutor::execute(protocol::QueryRequest request,
                                                              state::TimePoint arrival,
                                                              state::TimePoint deadline,
                                                              std::optional<QueryResponse> refusal)
{
    if (!request.requestId)
        co_return protocol::makeErrorResponse(
                CallerError::RequestIdRequired,
                "request_id is required for a request that must not be repeated");
    const auto id = state::parseRequestId(*request.requestId);
    if (!id)
        co_return protocol::makeErrorResponse(CallerError::RequestIdInvalid,
                                              "request_id must have the form <home>:<unique>");
    if (id->home.host != identity_.host)
        co_return co_await forward(std::move(request), id->home.host, deadline);
    if (id->home.incarnation != identity_.incarnation)
        co_return protocol::makeErrorResponse(CallerError::HomeLost,
                                              "the home of the request has restarted");
    const auto waiter = std::make_shared<DuplicateWaiter>(co_await asio::this_coro::executor);
    const auto onAnswer = [waiter](const QueryResponse &answer) {
        asio::post(waiter->strand, [waiter, answer] {
            waiter->answer = answer;
            waiter->timer.cancel();
        });
    };
    auto recordedRefusal = refusal;
    // A locate answer is valid for a short time only, so it must not be replayed.
    if (recordedRefusal)
        recordedRefusal->home.reset();
    auto decision = store_->begin(id->home.epoch, id->unique, epoch(), onAnswer, recordedRefusal);
    switch (decision.admission) {
    case Admission::Start:
        co_return co_await start(std::move(request), *id, arrival);
    case Admission::Join:
        waiter->timer.expires_at(deadline);
        if (!waiter->answer)
            co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (waiter->answer)
            co_return *waiter->answer;
        co_return protocol::makeErrorResponse(CallerError::DeadlineExceeded,
                                              "the request is still running");
    case Admission::Replay:
        co_return decision.answer;
    case Admission::Expired:
        co_return protocol::makeErrorResponse(CallerError::EpochExpired,
                                              "the epoch of the request_id has expired");
    case Admission::Future:
        co_return protocol::makeErrorResponse(CallerError::RequestIdInvalid,
                                              "the epoch of the request_id has not begun");
    case Admission::Refused:
        co_return *refusal;
    case Admission::Full:
        break;
    }
    co_return protocol::makeErrorResponse(CallerError::Overloaded,
                                          "the home cannot store more request ids and has "
                                          "not recorded this one; retry with the same id");
}

asio::awaitable<QueryResponse> NonRepeatableExecutor::start(protocol::QueryRequest request,
                                                            state::RequestId id,
                                                            state::TimePoint arrival)
{
    const auto onLateAnswer = [store = store_, id](const QueryResponse &answer) {
        store->finish(id.home.epoch, id.unique, answer);
    };
    auto answer = co_await execute_(std::move(request), arrival, onLateAnswer);
    store_->finish(id.home.epoch, id.unique, answer);
    co_return answer;
}

asio::awaitable<QueryResponse> NonRepeatableExecutor::forward(protocol::QueryRequest request,
                                                              std::string host,
                                                              state::TimePoint deadline)
{
    // The outcome of every failure here is unknown: an earlier attempt may have run at the home.
    const auto lost = protocol::makeErrorResponse(CallerError::HomeLost,
                                                  "the home of the request is unreachable");
    const auto view = hooks_.currentView();
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
    auto answer = protocol::decodeQueryResponse(valueOf(response).body);
    if (!isOk(answer))
        co_return lost;
    co_return takeValue(answer);
}

} // namespace persimmon::entry
