#pragma once

#include "dispatch/dispatch_error.h"
#include "dispatch/upstream_connection_pool.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

namespace persimmon::dispatch {

/// HTTP client that executes requests on upstreams over pooled connections. Callable from any
/// thread; must outlive the coroutines that it returns.
class UpstreamClient
{
public:
    using ExecuteResult = Result<protocol::ExecuteResponse, DispatchError>;

    /// @param metrics counts dropped mismatched answers; must outlive the client.
    UpstreamClient(transport::Runtime &runtime, transport::Metrics &metrics);

    /// Sends @p request to @p upstream and waits for the reply.
    /// @param timeout total limit for acquiring a connection, connecting and executing.
    /// @param connectionLimit maximum number of open connections to this upstream.
    /// @param repeatable if false, a connection with a long idle time is health-checked before use.
    /// @return the reply, or an error that states whether any byte may have been written. An answer
    ///         that belongs to another request is dropped and reported as MismatchedAnswer.
    boost::asio::awaitable<ExecuteResult>
    execute(const protocol::HostRecord &upstream, const protocol::ExecuteRequest &request,
            transport::Duration timeout, std::size_t connectionLimit, bool repeatable = true);

    /// Closes the connection of a running execution and posts /v1/cancel on another connection.
    /// execute() returns Cancelled only after that post has completed or failed: until then the
    /// upstream may still run the request, so its slot is not free. Has no effect if the execution
    /// has ended or is still waiting for a connection.
    void cancel(const protocol::HostRecord &upstream,
                const protocol::CancelExecution &cancellation);

private:
    /// Set to true once the post of a cancellation has completed or failed.
    using CancelCompletion = std::shared_ptr<std::atomic<bool>>;
    struct RunningExecution
    {
        std::shared_ptr<transport::HttpConnection> connection;
        /// Null until the execution is cancelled.
        CancelCompletion cancelCompletion = {};
    };
    struct Execution;
    /// Key of a running execution. Attempt numbers are unique only within a request id and shard.
    struct ExecutionKey
    {
        std::string address;
        std::string requestId;
        std::uint64_t attempt = 0;
        std::string shard;

        bool operator<(const ExecutionKey &other) const
        {
            return std::tie(address, requestId, attempt, shard)
                   < std::tie(other.address, other.requestId, other.attempt, other.shard);
        }
    };

    std::shared_ptr<UpstreamConnectionPool> connectionPoolOf(const std::string &address);
    boost::asio::awaitable<ExecuteResult> run(std::shared_ptr<Execution> execution);
    boost::asio::awaitable<Status<DispatchError>> open(Execution &execution);
    boost::asio::awaitable<ExecuteResult> exchange(Execution &execution);
    ExecuteResult checkReply(const Execution &execution, const transport::HttpResponse &response);
    boost::asio::awaitable<void> postCancel(std::shared_ptr<UpstreamConnectionPool> connectionPool,
                                            transport::Endpoint endpoint,
                                            protocol::CancelExecution cancellation,
                                            CancelCompletion completion);
    boost::asio::awaitable<void> waitForCancelCompletion(CancelCompletion completion);
    bool isCancelled(const ExecutionKey &key) const;

    transport::Runtime &runtime_;
    transport::Counter &mismatched_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<UpstreamConnectionPool>, std::less<>> connectionPools_;
    std::map<ExecutionKey, RunningExecution> running_;
};

} // namespace persimmon::dispatch
