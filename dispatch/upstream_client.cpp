#include "dispatch/upstream_client.h"

#include <boost/asio/use_awaitable.hpp>

#include <limits>

namespace asio = boost::asio;

namespace persimmon::dispatch {

namespace {

/// A connection that was idle for longer may be dead without a notification from the peer.
constexpr std::chrono::seconds HealthCheckIdleTime{10};
/// Limit for the health check of an idle connection.
constexpr std::chrono::milliseconds HealthTimeout{200};
/// Limit for posting a cancellation. A cancellation is advisory.
constexpr std::chrono::milliseconds CancelTimeout{500};
constexpr std::chrono::milliseconds CancelPollInterval{2};

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

bool matchesRequest(const protocol::ExecuteSuccess &answer, const protocol::ExecuteRequest &request)
{
    return answer.requestId == request.requestId && answer.attempt == request.attempt
           && answer.shard == request.shard && answer.snapshot == request.snapshot;
}

bool matchesRequest(const protocol::ExecuteRefusal &refusal,
                    const protocol::ExecuteRequest &request)
{
    return refusal.requestId.empty()
           || (refusal.requestId == request.requestId && refusal.attempt == request.attempt);
}

/// @return the request id and attempt that a response names, for error messages.
std::string describeSubject(const protocol::ExecuteResponse &response)
{
    return std::visit(
            [](const auto &reply) {
                return reply.requestId + ", attempt " + std::to_string(reply.attempt);
            },
            response);
}

} // namespace

/// State of one execution.
struct UpstreamClient::Execution
{
    transport::Endpoint endpoint;
    protocol::ExecuteRequest request;
    transport::TimePoint deadline;
    bool repeatable = true;
    std::shared_ptr<UpstreamConnectionPool> connectionPool;
    UpstreamConnectionPool::Lease lease;
    ExecutionKey key;
};

UpstreamClient::UpstreamClient(transport::Runtime &runtime, transport::Metrics &metrics)
    : runtime_(runtime),
      mismatched_(metrics.counter("persimmon_dispatch_mismatched_answers_total",
                                  "Answers dropped because they belong to another request."))
{
}

asio::awaitable<UpstreamClient::ExecuteResult>
UpstreamClient::execute(const protocol::HostRecord &upstream,
                        const protocol::ExecuteRequest &request, transport::Duration timeout,
                        std::size_t connectionLimit, bool repeatable)
{
    const auto endpoint = transport::parseEndpoint(upstream.address);
    if (!isOk(endpoint))
        co_return DispatchError{DispatchErrorCode::AddressInvalid, errorOf(endpoint).message};
    auto &clock = runtime_.clock();
    auto execution = std::make_shared<Execution>();
    execution->endpoint = valueOf(endpoint);
    execution->request = request;
    execution->deadline = clock.now() + timeout;
    execution->repeatable = repeatable;
    execution->connectionPool = connectionPoolOf(upstream.address);
    execution->key = {upstream.address, request.requestId, request.attempt, request.shard};
    auto lease = co_await execution->connectionPool->acquire(clock, connectionLimit, timeout);
    if (!lease) {
        co_return DispatchError{DispatchErrorCode::Timeout,
                                upstream.name + ": timed out waiting for a free connection"};
    }
    execution->lease = std::move(*lease);
    if (!execution->lease.connection) {
        execution->lease.connection =
                std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
        execution->lease.idle = transport::Duration(0);
    }
    auto executor = execution->lease.connection->executor();
    co_return co_await asio::co_spawn(executor, run(std::move(execution)), asio::use_awaitable);
}

asio::awaitable<UpstreamClient::ExecuteResult>
UpstreamClient::run(std::shared_ptr<Execution> execution)
{
    {
        const std::lock_guard lock(mutex_);
        running_[execution->key] = {execution->lease.connection};
    }
    auto result = co_await exchange(*execution);
    CancelCompletion cancelCompletion;
    {
        const std::lock_guard lock(mutex_);
        cancelCompletion = running_[execution->key].cancelCompletion;
        running_.erase(execution->key);
    }
    execution->connectionPool->release(execution->lease.connection, runtime_.clock().now());
    if (cancelCompletion && !isOk(result)) {
        co_await waitForCancelCompletion(cancelCompletion);
        co_return DispatchError{DispatchErrorCode::Cancelled, "cancelled", errorOf(result).written};
    }
    co_return result;
}

asio::awaitable<void> UpstreamClient::waitForCancelCompletion(CancelCompletion completion)
{
    const auto end = runtime_.clock().now() + CancelTimeout;
    while (!*completion && runtime_.clock().now() < end)
        co_await runtime_.clock().sleep(CancelPollInterval);
}

asio::awaitable<Status<DispatchError>> UpstreamClient::open(Execution &execution)
{
    auto &connection = execution.lease.connection;
    auto &clock = runtime_.clock();
    if (connection->isOpen()) {
        if (execution.repeatable || execution.lease.idle <= HealthCheckIdleTime)
            co_return Ok{};
        const transport::HttpRequest check{"GET", "/v1/health", {}};
        const auto health = co_await connection->send(check, HealthTimeout);
        if (isOk(health) && connection->isOpen())
            co_return Ok{};
        connection->close();
        connection = std::make_shared<transport::HttpConnection>(connection->executor());
        const std::lock_guard lock(mutex_);
        running_[execution.key].connection = connection;
    }
    const auto connected =
            co_await connection->connect(execution.endpoint, execution.deadline - clock.now());
    if (!isOk(connected))
        co_return convertError(errorOf(connected));
    co_return Ok{};
}

asio::awaitable<UpstreamClient::ExecuteResult> UpstreamClient::exchange(Execution &execution)
{
    const auto opened = co_await open(execution);
    if (!isOk(opened))
        co_return errorOf(opened);
    if (isCancelled(execution.key))
        co_return DispatchError{DispatchErrorCode::Cancelled,
                                "cancelled before the request was sent"};
    const auto left = execution.deadline - runtime_.clock().now();
    if (left <= transport::Duration(0))
        co_return DispatchError{DispatchErrorCode::Timeout,
                                "the deadline passed before the request was sent"};
    transport::HttpRequest message{"POST", "/v1/execute",
                                   protocol::encodeExecuteRequest(execution.request)};
    auto response = co_await execution.lease.connection->send(std::move(message), left);
    if (!isOk(response))
        co_return convertError(errorOf(response));
    co_return checkReply(execution, valueOf(response));
}

UpstreamClient::ExecuteResult UpstreamClient::checkReply(const Execution &execution,
                                                         const transport::HttpResponse &response)
{
    auto reply = protocol::decodeExecuteResponse(response.status, response.body);
    if (!isOk(reply)) {
        execution.lease.connection->close();
        return DispatchError{DispatchErrorCode::MalformedReply, errorOf(reply).message, true};
    }
    const auto *refusal = std::get_if<protocol::ExecuteRefusal>(&valueOf(reply));
    // A second copy of this refusal could not be told from the refusal of the next request.
    if (refusal != nullptr && refusal->requestId.empty())
        execution.lease.connection->close();
    const bool matches =
            std::visit([&](const auto &own) { return matchesRequest(own, execution.request); },
                       valueOf(reply));
    if (matches)
        return takeValue(reply);
    mismatched_.add();
    // Later answers on this connection could belong to other requests as well.
    execution.lease.connection->close();
    return DispatchError{DispatchErrorCode::MismatchedAnswer,
                         "received the response to request " + describeSubject(valueOf(reply)),
                         true};
}

void UpstreamClient::cancel(const protocol::HostRecord &upstream,
                            const protocol::CancelExecution &cancellation)
{
    const auto endpoint = transport::parseEndpoint(upstream.address);
    if (!isOk(endpoint))
        return;
    bool foundUncancelled = false;
    const auto completion = std::make_shared<std::atomic<bool>>(false);
    {
        const std::lock_guard lock(mutex_);
        const ExecutionKey first{
                upstream.address, cancellation.requestId, cancellation.attempt, {}};
        for (auto running = running_.lower_bound(first);
             running != running_.end() && running->first.address == first.address
             && running->first.requestId == first.requestId
             && running->first.attempt == first.attempt;
             ++running) {
            if (!running->second.cancelCompletion) {
                foundUncancelled = true;
                running->second.cancelCompletion = completion;
            }
            running->second.connection->close();
        }
    }
    if (!foundUncancelled)
        return;
    runtime_.spawn(postCancel(connectionPoolOf(upstream.address), valueOf(endpoint), cancellation,
                              completion));
}

asio::awaitable<void>
UpstreamClient::postCancel(std::shared_ptr<UpstreamConnectionPool> connectionPool,
                           transport::Endpoint endpoint, protocol::CancelExecution cancellation,
                           CancelCompletion completion)
{
    // No limit applies, since this connection replaces the one that cancel() has just closed.
    constexpr auto NoLimit = std::numeric_limits<std::size_t>::max();
    auto lease = co_await connectionPool->acquire(runtime_.clock(), NoLimit, CancelTimeout);
    if (!lease) {
        *completion = true;
        co_return;
    }
    auto connection = lease->connection;
    if (!connection)
        connection = std::make_shared<transport::HttpConnection>(runtime_.makeStrand());
    auto post = [connection, endpoint, cancellation]() -> asio::awaitable<void> {
        if (!connection->isOpen()) {
            const auto connected = co_await connection->connect(endpoint, CancelTimeout);
            if (!isOk(connected))
                co_return;
        }
        const transport::HttpRequest message{"POST", "/v1/cancel",
                                             protocol::encodeCancelExecution(cancellation)};
        co_await connection->send(message, CancelTimeout);
    };
    co_await asio::co_spawn(connection->executor(), post, asio::use_awaitable);
    *completion = true;
    connectionPool->release(connection, runtime_.clock().now());
}

bool UpstreamClient::isCancelled(const ExecutionKey &key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(key);
    return found != running_.end() && found->second.cancelCompletion != nullptr;
}

std::shared_ptr<UpstreamConnectionPool> UpstreamClient::connectionPoolOf(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    auto &pool = connectionPools_[address];
    if (!pool)
        pool = std::make_shared<UpstreamConnectionPool>();
    return pool;
}

} // namespace persimmon::dispatch
