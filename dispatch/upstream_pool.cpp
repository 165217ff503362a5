#include "dispatch/upstream_pool.h"

#include <boost/asio/use_awaitable.hpp>

#include <limits>

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

/// A connection that was idle for longer may be silently dead.
constexpr std::chrono::seconds IdleTestAge{10};
/// Limit for the health test of an idle connection.
constexpr std::chrono::milliseconds HealthTimeout{200};
/// Limit for the post of a cancellation, which is advisory.
constexpr std::chrono::milliseconds CancelTimeout{500};
constexpr std::chrono::milliseconds CancelPoll{2};

DispatchErrorCode convertCode(transport::TransportErrorCode code)
{
    switch (code) {
    case transport::TransportErrorCode::Timeout:
        return DispatchErrorCode::Timeout;
    case transport::TransportErrorCode::ConnectFailed:
        return DispatchErrorCode::ConnectFailed;
    case transport::TransportErrorCode::Malformed:
    case transport::TransportErrorCode::TooLarge:
        return DispatchErrorCode::MalformedReply;
    default:
        return DispatchErrorCode::ConnectionLost;
    }
}

DispatchError convertError(const transport::TransportError &error)
{
    return {convertCode(error.code), error.message, error.written};
}

bool isAnswerTo(const protocol::ExecuteAnswer &answer, const protocol::ExecuteRequest &request)
{
    return answer.requestId == request.requestId && answer.attempt == request.attempt
           && answer.shard == request.shard && answer.snapshot == request.snapshot;
}

} // namespace

/// One execution on its way.
struct UpstreamPool::Work
{
    transport::Endpoint endpoint;
    protocol::ExecuteRequest request;
    transport::TimePoint deadline;
    bool repeatable = true;
    std::shared_ptr<UpstreamConnections> connections;
    UpstreamConnections::Lease lease;
    RunKey key;
};

UpstreamPool::UpstreamPool(transport::Runtime &runtime, transport::Metrics &metrics)
    : runtime_(runtime),
      mismatched_(metrics.counter("persimmon_dispatch_mismatched_answers_total",
                                  "Answers that belonged to another request and were dropped."))
{
}

asio::awaitable<UpstreamPool::ExecuteResult>
UpstreamPool::execute(const protocol::HostRecord &upstream, const protocol::ExecuteRequest &request,
                      transport::Duration timeout, std::size_t connectionLimit, bool repeatable)
{
    const auto endpoint = transport::parseEndpoint(upstream.address);
    if (!isOk(endpoint))
        co_return DispatchError{DispatchErrorCode::AddressInvalid, errorOf(endpoint).message};
    auto &clock = runtime_.clock();
    auto work = std::make_shared<Work>();
    work->endpoint = valueOf(endpoint);
    work->request = request;
    work->deadline = clock.now() + timeout;
    work->repeatable = repeatable;
    work->connections = connectionsOf(upstream.address);
    work->key = {upstream.address, request.requestId, request.attempt, request.shard};
    auto lease = co_await work->connections->acquire(clock, connectionLimit, timeout);
    if (!lease) {
        co_return DispatchError{DispatchErrorCode::Timeout,
                                upstream.name + ": no connection became free in time"};
    }
    work->lease = std::move(*lease);
    if (!work->lease.connection) {
        work->lease.connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
        work->lease.idle = transport::Duration(0);
    }
    auto executor = work->lease.connection->executor();
    co_return co_await asio::co_spawn(executor, run(std::move(work)), asio::use_awaitable);
}

asio::awaitable<UpstreamPool::ExecuteResult> UpstreamPool::run(std::shared_ptr<Work> work)
{
    {
        const std::lock_guard lock(mutex_);
        running_[work->key] = {work->lease.connection};
    }
    auto result = co_await exchange(*work);
    CancelToken told;
    {
        const std::lock_guard lock(mutex_);
        told = running_[work->key].told;
        running_.erase(work->key);
    }
    work->connections->release(work->lease.connection, runtime_.clock().now());
    if (told && !isOk(result)) {
        co_await waitUntilTold(told);
        co_return DispatchError{DispatchErrorCode::Cancelled, "cancelled", errorOf(result).written};
    }
    co_return result;
}

asio::awaitable<void> UpstreamPool::waitUntilTold(CancelToken token)
{
    const auto end = runtime_.clock().now() + CancelTimeout;
    while (!*token && runtime_.clock().now() < end)
        co_await runtime_.clock().sleep(CancelPoll);
}

asio::awaitable<Status<DispatchError>> UpstreamPool::open(Work &work)
{
    auto &connection = work.lease.connection;
    auto &clock = runtime_.clock();
    if (connection->isOpen()) {
        if (work.repeatable || work.lease.idle <= IdleTestAge)
            co_return Ok{};
        const transport::HttpRequest test{"GET", "/v1/health", {}};
        const auto health = co_await connection->send(test, HealthTimeout);
        if (isOk(health) && connection->isOpen())
            co_return Ok{};
        connection->close();
        connection = std::make_shared<transport::HttpConnection>(connection->executor());
        const std::lock_guard lock(mutex_);
        running_[work.key].connection = connection;
    }
    const auto connected = co_await connection->connect(work.endpoint, work.deadline - clock.now());
    if (!isOk(connected))
        co_return convertError(errorOf(connected));
    co_return Ok{};
}

asio::awaitable<UpstreamPool::ExecuteResult> UpstreamPool::exchange(Work &work)
{
    const auto opened = co_await open(work);
    if (!isOk(opened))
        co_return errorOf(opened);
    if (isCancelled(work.key))
        co_return DispatchError{DispatchErrorCode::Cancelled, "cancelled before it was sent"};
    const auto left = work.deadline - runtime_.clock().now();
    if (left <= transport::Duration(0))
        co_return DispatchError{DispatchErrorCode::Timeout, "the time ended before it was sent"};
    transport::HttpRequest message{"POST", "/v1/execute",
                                   protocol::encodeExecuteRequest(work.request)};
    auto response = co_await work.lease.connection->send(std::move(message), left);
    if (!isOk(response))
        co_return convertError(errorOf(response));
    co_return checkReply(work, valueOf(response));
}

UpstreamPool::ExecuteResult UpstreamPool::checkReply(const Work &work,
                                                     const transport::HttpResponse &response)
{
    auto reply = protocol::decodeExecuteReply(response.status, response.body);
    if (!isOk(reply)) {
        work.lease.connection->close();
        return DispatchError{DispatchErrorCode::MalformedReply, errorOf(reply).message, true};
    }
    const auto *answer = std::get_if<protocol::ExecuteAnswer>(&valueOf(reply));
    if (answer == nullptr || isAnswerTo(*answer, work.request))
        return takeValue(reply);
    mismatched_.add();
    // After one answer of another request, the next ones on this connection are in doubt too.
    work.lease.connection->close();
    return DispatchError{DispatchErrorCode::MismatchedAnswer,
                         "the answer belongs to request " + answer->requestId, true};
}

void UpstreamPool::cancel(const protocol::HostRecord &upstream,
                          const protocol::CancelExecution &execution)
{
    const auto endpoint = transport::parseEndpoint(upstream.address);
    if (!isOk(endpoint))
        return;
    bool found = false;
    const auto token = std::make_shared<std::atomic<bool>>(false);
    {
        const std::lock_guard lock(mutex_);
        const RunKey first{upstream.address, execution.requestId, execution.attempt, {}};
        for (auto run = running_.lower_bound(first);
             run != running_.end() && run->first.address == first.address
             && run->first.requestId == first.requestId && run->first.attempt == first.attempt;
             ++run) {
            if (!run->second.told) {
                found = true;
                run->second.told = token;
            }
            run->second.connection->close();
        }
    }
    if (!found)
        return;
    runtime_.spawn(
            postCancel(connectionsOf(upstream.address), valueOf(endpoint), execution, token));
}

asio::awaitable<void> UpstreamPool::postCancel(std::shared_ptr<UpstreamConnections> connections,
                                               transport::Endpoint endpoint,
                                               protocol::CancelExecution execution,
                                               CancelToken token)
{
    // The limit does not apply: the connection that this one replaces has just been closed.
    constexpr auto NoLimit = std::numeric_limits<std::size_t>::max();
    auto lease = co_await connections->acquire(runtime_.clock(), NoLimit, CancelTimeout);
    if (!lease) {
        *token = true;
        co_return;
    }
    auto connection = lease->connection;
    if (!connection)
        connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
    auto post = [connection, endpoint, execution]() -> asio::awaitable<void> {
        if (!connection->isOpen()) {
            const auto connected = co_await connection->connect(endpoint, CancelTimeout);
            if (!isOk(connected))
                co_return;
        }
        const transport::HttpRequest message{"POST", "/v1/cancel",
                                             protocol::encodeCancelExecution(execution)};
        co_await connection->send(message, CancelTimeout);
    };
    co_await asio::co_spawn(connection->executor(), post, asio::use_awaitable);
    *token = true;
    connections->release(connection, runtime_.clock().now());
}

bool UpstreamPool::isCancelled(const RunKey &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(key);
    return found != running_.end() && found->second.told != nullptr;
}

std::shared_ptr<UpstreamConnections> UpstreamPool::connectionsOf(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    auto &connections = upstreams_[address];
    if (!connections)
        connections = std::make_shared<UpstreamConnections>();
    return connections;
}

} // namespace persimmon::dispatch
