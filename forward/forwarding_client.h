#pragma once

#include "forward/response_faults.h"
#include "forward/upstream_notice_parser.h"
#include "forward/upstream_response.h"
#include "forward/used_connections.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <variant>

namespace persimmon::forward {

/// Identifies one attempt of a sub-request.
struct AttemptKey
{
    std::uint64_t subRequestId = 0;
    std::uint32_t attempt = 0;

    bool operator<(const AttemptKey &other) const
    {
        return std::tie(subRequestId, attempt) < std::tie(other.subRequestId, other.attempt);
    }
};

/// How a ForwardingClient speaks to the servers of its requests.
struct ServerProtocol
{
    /// Serializes a request for one attempt.
    std::function<std::string(const ForwardRequest &request, const std::string &server,
                              std::chrono::milliseconds timeLeft)>
            serialize;
    /// Classifies a complete response to the request with this id.
    std::function<state::AttemptResult(UpstreamResponse response, const std::string &requestId)>
            classify;
    /// Time that a cancelled attempt has to complete, since its connection can then be reused.
    std::chrono::milliseconds cancelDelay{150};
    /// Prefix of the names of the metrics.
    std::string metricPrefix = "persimmon_upstream";
};

/// @return the protocol of upstreams.
ServerProtocol makeUpstreamProtocol(const HeaderNames &names);

/// HTTP/1.1 client that sends forwarded requests to upstreams over pooled persistent connections.
/// Requires a single-threaded runtime and must outlive the coroutines that it returns.
class ForwardingClient
{
public:
    /// Covers a few round trips between regions.
    static constexpr std::chrono::milliseconds ConnectTimeout{250};

    /// Speaks the protocol of upstreams.
    ForwardingClient(transport::Runtime &runtime, transport::Metrics &metrics, HeaderNames names);

    ForwardingClient(transport::Runtime &runtime, transport::Metrics &metrics, HeaderNames names,
                     ServerProtocol protocol);

    /// Sends @p request to @p upstream and waits for the response.
    /// @param deadline time by which the upstream must have responded.
    /// @param idempotent whether the request may be executed more than once. If false, an idle
    ///        connection is reused only if it was in use recently.
    /// @param used connections of the earlier attempts, which this one does not use; receives its
    ///        own.
    /// @return the outcome of the attempt.
    boost::asio::awaitable<state::AttemptResult>
    execute(AttemptKey key, protocol::HostRecord upstream,
            std::shared_ptr<const ForwardRequest> request, transport::TimePoint deadline,
            bool idempotent, std::shared_ptr<UsedConnections> used);

    /// Opens a connection to @p upstream, which the next request to it uses.
    /// @return whether the upstream accepted the connection.
    boost::asio::awaitable<bool> tryConnect(protocol::HostRecord upstream);

    /// Cancels an attempt. Its connection is closed after
    /// ServerProtocol::cancelDelay unless the response arrives.
    void cancel(AttemptKey key);

    /// Closes the idle connections to one upstream, for example after it was removed.
    void closeIdleTo(const std::string &upstream) { idle_.erase(upstream); }

    /// Closes all idle connections, for example after the process was suspended.
    void closeIdle() { idle_.clear(); }

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Connection
    {
        Connection(const boost::asio::any_io_executor &executor, std::uint64_t connectionNumber)
            : socket(executor),
              number(connectionNumber)
        {
        }

        Socket socket;
        /// Unique within the process, from 1.
        const std::uint64_t number;
        boost::beast::flat_buffer buffer{transport::MaxBufferedBytes};
        transport::TimePoint idleSince;
        /// Idle time after which the upstream closes the connection.
        std::chrono::milliseconds idleTimeout{0};
        /// Whether it has carried an earlier request, which may be answered once more.
        bool reused = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct ActiveAttempt
    {
        ConnectionPtr connection;
        transport::TimePoint timeoutAt;
        bool timedOut = false;
        bool cancelled = false;
    };
    using ActiveAttemptPtr = std::shared_ptr<ActiveAttempt>;

    /// @return an idle connection that is not in @p used, or null.
    ConnectionPtr acquireIdle(const std::string &upstream, bool idempotent,
                              const UsedConnections &used);
    bool isUsable(Connection &connection, bool idempotent) const;
    void releaseIdle(const std::string &upstream, const ConnectionPtr &connection);
    boost::asio::awaitable<bool> connect(ActiveAttemptPtr attempt, std::string address);
    /// Opens a connection for the next request to the upstream.
    /// @return whether the upstream accepted the connection.
    boost::asio::awaitable<bool> reconnect(ActiveAttemptPtr attempt, protocol::HostRecord upstream);
    boost::asio::awaitable<state::AttemptResult>
    sendRequest(ActiveAttemptPtr attempt, std::string upstream,
                std::shared_ptr<const ForwardRequest> request, transport::TimePoint deadline);
    /// Reads the final response to @p request. Skips interim responses and late responses to other
    /// requests.
    /// @return the response, or the end of an attempt without one.
    boost::asio::awaitable<std::variant<UpstreamResponse, state::AttemptEnd>>
    readResponse(ConnectionPtr connection, std::shared_ptr<const ForwardRequest> request);
    /// Reads one message, which may be an interim response.
    boost::asio::awaitable<std::variant<UpstreamResponse, state::AttemptEnd>>
    readMessage(ConnectionPtr connection, bool withBody);
    /// Reads the first bytes of a message.
    /// @return the end of the attempt if they begin no response.
    boost::asio::awaitable<std::optional<state::AttemptEnd>>
    readStatusLineStart(ConnectionPtr connection);
    /// Looks for the beginning of another response in the body of a complete one, and briefly waits
    /// for more bytes where those received so far cannot tell.
    boost::asio::awaitable<bool> containsSecondResponse(ConnectionPtr connection,
                                                        const UpstreamResponse &response);
    /// Reports bytes that were received after a complete response.
    void reportBytesBehind(const Connection &connection, const std::string &requestId);
    bool isResponseTo(const UpstreamResponse &response, const Connection &connection,
                      const std::string &requestId) const;
    static state::AttemptEnd resolveEnd(const ActiveAttempt &attempt, state::AttemptEnd fallback);
    void startTimeoutChecks();
    void closeExpiredAttempts();

    transport::Runtime &runtime_;
    const HeaderNames names_;
    const ServerProtocol protocol_;
    UpstreamNoticeParser noticeParser_;
    ResponseFaultReporter faults_;
    transport::Counter &openedConnections_;
    transport::Counter &reusedConnections_;
    std::map<std::string, std::vector<ConnectionPtr>> idle_;
    std::map<AttemptKey, ActiveAttemptPtr> activeAttempts_;
    std::uint64_t connectionCount_ = 0;
    std::uint32_t trialCount_ = 0;
    bool checkingTimeouts_ = false;
};

} // namespace persimmon::forward
