#pragma once

#include "dispatch/dispatch_error.h"
#include "dispatch/upstream_connections.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

namespace persimmon::dispatch {

/// Keeps HTTP connections to upstreams and executes requests on them. Callable from any thread;
/// must outlive the coroutines that it returns.
class UpstreamPool
{
public:
    using ExecuteResult = Result<protocol::ExecuteReply, DispatchError>;

    /// @param metrics gets the count of dropped mismatched answers; must outlive the pool.
    UpstreamPool(transport::Runtime &runtime, transport::Metrics &metrics);

    /// Sends @p request to @p upstream and waits for the reply.
    /// @param timeout limit for waiting for a connection, connecting and executing together.
    /// @param connectionLimit connections to this upstream that may be open at the same time.
    /// @param repeatable false tests a connection that was idle for long before it is used.
    /// @return the reply, or an error that tells whether a byte may have been written. An answer
    ///         of another request is dropped and reported as MismatchedAnswer.
    boost::asio::awaitable<ExecuteResult>
    execute(const protocol::HostRecord &upstream, const protocol::ExecuteRequest &request,
            transport::Duration timeout, std::size_t connectionLimit, bool repeatable = true);

    /// Closes the connection of a running execution and posts /v1/cancel on another connection.
    /// execute() ends with Cancelled when the upstream has been told: until then it may still run
    /// the request, so that its slot is not free. Does nothing when the execution has ended or
    /// still waits for a connection.
    void cancel(const protocol::HostRecord &upstream, const protocol::CancelExecution &execution);

private:
    /// Whether the upstream was told of a cancellation, or could not be.
    using CancelToken = std::shared_ptr<std::atomic<bool>>;
    struct Run
    {
        std::shared_ptr<transport::HttpConnection> connection;
        /// Set once the execution is cancelled.
        CancelToken told = {};
    };
    struct Work;
    /// Attempts are unique only within one request id and shard.
    struct RunKey
    {
        std::string address;
        std::string requestId;
        std::uint64_t attempt = 0;
        std::string shard;

        bool operator<(const RunKey &other) const
        {
            return std::tie(address, requestId, attempt, shard)
                   < std::tie(other.address, other.requestId, other.attempt, other.shard);
        }
    };

    std::shared_ptr<UpstreamConnections> connectionsOf(const std::string &address);
    boost::asio::awaitable<ExecuteResult> run(std::shared_ptr<Work> work);
    boost::asio::awaitable<Status<DispatchError>> open(Work &work);
    boost::asio::awaitable<ExecuteResult> exchange(Work &work);
    ExecuteResult checkReply(const Work &work, const transport::HttpResponse &response);
    boost::asio::awaitable<void> postCancel(std::shared_ptr<UpstreamConnections> connections,
                                            transport::Endpoint endpoint,
                                            protocol::CancelExecution execution, CancelToken token);
    boost::asio::awaitable<void> waitUntilTold(CancelToken token);
    bool isCancelled(const RunKey &key) const;

    transport::Runtime &runtime_;
    transport::Counter &mismatched_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<UpstreamConnections>, std::less<>> upstreams_;
    std::map<RunKey, Run> running_;
};

} // namespace persimmon::dispatch
