#include "forward/forwarding_client.h"

#include "forward/parse_error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace persimmon::forward {

namespace {

constexpr auto AwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds TimeoutCheckInterval{40};
/// Time after the deadline in which an upstream can still report that the deadline has passed.
constexpr std::chrono::milliseconds DeadlineMargin{150};
/// An idle connection is discarded this long before the upstream's idle timeout, so that no request
/// is sent on a connection that the upstream is closing.
constexpr std::chrono::milliseconds IdleMargin{600};
/// Used for upstreams that send no Keep-Alive timeout.
constexpr std::chrono::milliseconds DefaultIdleTimeout{30'000};
/// A request that is not idempotent reuses only connections that were idle for less than this time.
constexpr std::chrono::milliseconds MaxNonIdempotentIdleTime{1000};
/// TCP_USER_TIMEOUT: the kernel closes a connection whose data stays unacknowledged for this time.
constexpr unsigned UserTimeoutMilliseconds = 2000;
constexpr std::uint64_t MaxResponseBytes = 8ULL * 1024 * 1024;

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const unsigned timeout = UserTimeoutMilliseconds;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

bool hasUnexpectedInput(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// @return the value of "timeout=N" in a Keep-Alive field, or DefaultIdleTimeout without one.
std::chrono::milliseconds parseIdleTimeout(beast::string_view field)
{
    constexpr std::string_view Name = "timeout=";
    const std::string_view text(field.data(), field.size());
    const auto at = text.find(Name);
    if (at == std::string_view::npos)
        return DefaultIdleTimeout;
    int seconds = 0;
    const auto *begin = text.data() + at + Name.size();
    std::from_chars(begin, text.data() + text.size(), seconds);
    return std::chrono::seconds(std::max(seconds, 0));
}

} // namespace

ForwardingClient::ForwardingClient(transport::Runtime &runtime, transport::Metrics &metrics,
                                   HeaderNames names)
    : runtime_(runtime),
      names_(std::move(names)),
      openedConnections_(metrics.counter("persimmon_upstream_connections_total",
                                         "Connections opened to upstreams.")),
      reusedConnections_(metrics.counter("persimmon_upstream_reuses_total",
                                         "Requests sent on a reused connection."))
{
}

std::shared_ptr<ForwardingClient::Connection>
ForwardingClient::acquireIdle(const std::string &upstream, bool idempotent)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end())
        return nullptr;
    auto &connections = found->second;
    const auto now = runtime_.clock().now();
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        const auto idle = now - connection->idleSince;
        const bool usable = idle + IdleMargin < connection->idleTimeout
                            && (idempotent || idle < MaxNonIdempotentIdleTime)
                            && !hasUnexpectedInput(connection->socket);
        if (usable)
            return connection;
    }
    return nullptr;
}

void ForwardingClient::releaseIdle(const std::string &upstream,
                                   const std::shared_ptr<Connection> &connection)
{
    connection->idleSince = runtime_.clock().now();
    idle_[upstream].push_back(connection);
}

asio::awaitable<state::AttemptResult>
ForwardingClient::execute(AttemptKey key, protocol::HostRecord upstream,
                          std::shared_ptr<const ForwardRequest> request,
                          transport::TimePoint deadline, bool idempotent)
{
    auto attempt = std::make_shared<ActiveAttempt>();
    activeAttempts_[key] = attempt;
    startTimeoutChecks();
    attempt->connection = acquireIdle(upstream.name, idempotent);
    bool connected = attempt->connection != nullptr;
    if (connected) {
        reusedConnections_.add();
    } else {
        openedConnections_.add();
        connected = co_await connect(attempt, upstream.address);
    }
    state::AttemptResult result;
    result.end = resolveEnd(*attempt, state::AttemptEnd::NotWritten);
    result.written = false;
    if (connected)
        result = co_await sendRequest(attempt, upstream.name, request, deadline);
    activeAttempts_.erase(key);
    co_return result;
}

asio::awaitable<bool> ForwardingClient::connect(ActiveAttemptPtr attempt, std::string address)
{
    const auto endpoint = transport::parseEndpoint(address);
    if (!isOk(endpoint))
        co_return false;
    const auto executor = co_await asio::this_coro::executor;
    attempt->connection = std::make_shared<Connection>(executor);
    attempt->timeoutAt = runtime_.clock().now() + ConnectTimeout;
    auto &socket = attempt->connection->socket;
    const auto [error] = co_await socket.async_connect(valueOf(endpoint), AwaitTuple);
    if (error || attempt->timedOut)
        co_return false;
    setSocketOptions(socket);
    co_return true;
}

asio::awaitable<state::AttemptResult>
ForwardingClient::sendRequest(ActiveAttemptPtr attempt, std::string upstream,
                              std::shared_ptr<const ForwardRequest> request,
                              transport::TimePoint deadline)
{
    state::AttemptResult result;
    const auto now = runtime_.clock().now();
    const auto timeLeft = std::chrono::floor<std::chrono::milliseconds>(deadline - now);
    if (timeLeft.count() <= 0 || attempt->cancelled) {
        result.end =
                attempt->cancelled ? state::AttemptEnd::Cancelled : state::AttemptEnd::TimedOut;
        result.written = false;
        releaseIdle(upstream, attempt->connection);
        co_return result;
    }
    attempt->timeoutAt = deadline + DeadlineMargin;
    const auto connection = attempt->connection;
    const auto bytes = request->serialize(names_, upstream, timeLeft);
    const auto [writeError, sent] =
            co_await asio::async_write(connection->socket, asio::buffer(bytes), AwaitTuple);
    if (writeError) {
        result.end = resolveEnd(*attempt,
                                sent > 0 ? state::AttemptEnd::Lost : state::AttemptEnd::NotWritten);
        co_return result;
    }
    UpstreamResponse response;
    do {
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxResponseBytes);
        if (request->method == "HEAD")
            parser.skip(true);
        const auto [readError, received] = co_await http::async_read(
                connection->socket, connection->buffer, parser, AwaitTuple);
        if (readError) {
            const bool malformed = isParseError(readError);
            result.end = resolveEnd(*attempt, malformed ? state::AttemptEnd::Dropped
                                                        : state::AttemptEnd::Lost);
            co_return result;
        }
        response = parser.release();
    } while (response.result_int() < 200);
    // Bytes after a complete response belong to no request, so the connection cannot be reused.
    const bool keepOpen =
            response.keep_alive() && connection->buffer.size() == 0 && !response.need_eof();
    connection->idleTimeout = parseIdleTimeout(response[http::field::keep_alive]);
    result = classifyResponse(std::move(response), names_, request->id);
    if (keepOpen && result.end != state::AttemptEnd::Dropped
        && result.end != state::AttemptEnd::Replaced)
        releaseIdle(upstream, connection);
    co_return result;
}

state::AttemptEnd ForwardingClient::resolveEnd(const ActiveAttempt &attempt,
                                               state::AttemptEnd fallback)
{
    if (attempt.cancelled)
        return state::AttemptEnd::Cancelled;
    if (attempt.timedOut && fallback != state::AttemptEnd::NotWritten)
        return state::AttemptEnd::TimedOut;
    return fallback;
}

void ForwardingClient::cancel(AttemptKey key)
{
    const auto found = activeAttempts_.find(key);
    if (found == activeAttempts_.end() || found->second->cancelled)
        return;
    auto &attempt = *found->second;
    attempt.cancelled = true;
    attempt.timeoutAt = std::min(attempt.timeoutAt, runtime_.clock().now() + CancelDelay);
}

void ForwardingClient::startTimeoutChecks()
{
    if (checkingTimeouts_)
        return;
    checkingTimeouts_ = true;
    runtime_.spawn([](ForwardingClient &self) -> asio::awaitable<void> {
        while (!self.activeAttempts_.empty()) {
            co_await self.runtime_.clock().sleep(TimeoutCheckInterval);
            self.closeExpiredAttempts();
        }
        self.checkingTimeouts_ = false;
    }(*this));
}

void ForwardingClient::closeExpiredAttempts()
{
    const auto now = runtime_.clock().now();
    for (const auto &[key, attempt] : activeAttempts_) {
        if (attempt->timedOut || !attempt->connection || now < attempt->timeoutAt)
            continue;
        attempt->timedOut = true;
        boost::system::error_code ignored;
        attempt->connection->socket.close(ignored);
    }
}

void ForwardingClient::closeIdleExcept(const std::set<std::string> &names)
{
    std::erase_if(idle_, [&names](const auto &entry) { return !names.contains(entry.first); });
}

std::size_t ForwardingClient::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[name, connections] : idle_)
        count += connections.size();
    return count;
}

} // namespace persimmon::forward
