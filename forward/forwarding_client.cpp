#include "forward/forwarding_client.h"

#include "forward/embedded_head.h"
#include "forward/parse_error.h"
#include "forward/response_head.h"
#include "forward/status_line.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
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
/// Interim responses, and late responses to other requests, that one attempt skips.
constexpr int MaxSkippedMessages = 8;
constexpr unsigned FirstStatus = 100;
/// Attempts ask for no other protocol.
constexpr unsigned SwitchingProtocolsStatus = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
/// Time that the rest of a status line may take that begins in the last bytes of a body. Both are
/// sent together, and only segments separate them.
constexpr std::chrono::milliseconds SegmentDelay{10};
constexpr std::chrono::milliseconds SegmentPollInterval{2};
/// With fewer of its letters at the end of a body, the rest of a status line is not awaited: many
/// bodies end with such bytes.
constexpr std::size_t MinAwaitedBytes = std::string_view("HTTP/").size();

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

/// Appends what the socket has received, without waiting.
/// @return whether there was anything.
bool receiveAvailable(asio::ip::tcp::socket &socket, beast::flat_buffer &buffer)
{
    constexpr std::size_t ChunkBytes = 4096;
    if (buffer.size() + ChunkBytes > buffer.max_size())
        return false;
    const auto space = buffer.prepare(ChunkBytes);
    const auto count = ::recv(socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (count <= 0)
        return false;
    buffer.commit(static_cast<std::size_t>(count));
    return true;
}

bool isExpectedStatus(unsigned status)
{
    return status >= FirstStatus && status <= LastStatus && status != SwitchingProtocolsStatus;
}

std::string_view textOf(const beast::flat_buffer &buffer)
{
    const auto bytes = buffer.cdata();
    return {static_cast<const char *>(bytes.data()), bytes.size()};
}

state::AttemptEnd endForReadError(const beast::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::body_limit
        || error == http::error::buffer_overflow)
        return state::AttemptEnd::Oversized;
    return isParseError(error) ? state::AttemptEnd::Dropped : state::AttemptEnd::Lost;
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

ServerProtocol makeUpstreamProtocol(const HeaderNames &names)
{
    ServerProtocol protocol;
    protocol.serialize = [names](const ForwardRequest &request, const std::string &upstream,
                                 std::chrono::milliseconds timeLeft) {
        return request.serialize(names, upstream, timeLeft);
    };
    protocol.classify = [names](UpstreamResponse response, const std::string &requestId) {
        return classifyResponse(std::move(response), names, requestId);
    };
    return protocol;
}

ForwardingClient::ForwardingClient(transport::Runtime &runtime, transport::Metrics &metrics,
                                   HeaderNames names)
    : ForwardingClient(runtime, metrics, names, makeUpstreamProtocol(names))
{
}

ForwardingClient::ForwardingClient(transport::Runtime &runtime, transport::Metrics &metrics,
                                   HeaderNames names, ServerProtocol protocol)
    : runtime_(runtime),
      names_(std::move(names)),
      protocol_(std::move(protocol)),
      noticeParser_(metrics, names_),
      faults_(metrics),
      openedConnections_(metrics.counter(protocol_.metricPrefix + "_connections_total",
                                         "Connections opened.")),
      reusedConnections_(metrics.counter(protocol_.metricPrefix + "_reuses_total",
                                         "Requests sent on a reused connection."))
{
}

ForwardingClient::ConnectionPtr ForwardingClient::acquireIdle(const std::string &upstream,
                                                              bool idempotent,
                                                              const UsedConnections &used)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end())
        return nullptr;
    auto &connections = found->second;
    // The latest released connection is the least likely to be closed by the upstream.
    for (auto candidate = connections.end(); candidate != connections.begin();) {
        --candidate;
        if (used.contains((*candidate)->number))
            continue;
        auto connection = std::move(*candidate);
        candidate = connections.erase(candidate);
        if (isUsable(*connection, idempotent))
            return connection;
    }
    return nullptr;
}

bool ForwardingClient::isUsable(Connection &connection, bool idempotent) const
{
    const auto idle = runtime_.clock().now() - connection.idleSince;
    return idle + IdleMargin < connection.idleTimeout
           && (idempotent || idle < MaxNonIdempotentIdleTime)
           && !hasUnexpectedInput(connection.socket);
}

void ForwardingClient::releaseIdle(const std::string &upstream, const ConnectionPtr &connection)
{
    connection->idleSince = runtime_.clock().now();
    idle_[upstream].push_back(connection);
}

asio::awaitable<state::AttemptResult>
ForwardingClient::execute(AttemptKey key, protocol::HostRecord upstream,
                          std::shared_ptr<const ForwardRequest> request,
                          transport::TimePoint deadline, bool idempotent,
                          std::shared_ptr<UsedConnections> used)
{
    auto attempt = std::make_shared<ActiveAttempt>();
    activeAttempts_[key] = attempt;
    startTimeoutChecks();
    attempt->connection = acquireIdle(upstream.name, idempotent, *used);
    const bool opened = attempt->connection == nullptr;
    bool connected = !opened;
    if (opened) {
        openedConnections_.add();
        connected = co_await connect(attempt, upstream.address);
    } else {
        reusedConnections_.add();
    }
    state::AttemptResult result;
    result.end = resolveEnd(*attempt, state::AttemptEnd::NotWritten);
    result.written = false;
    if (connected) {
        const auto number = attempt->connection->number;
        used->add(number);
        result = co_await sendRequest(attempt, upstream.name, request, deadline);
        result.connection = number;
    }
    result.newConnection = opened;
    if (result.end == state::AttemptEnd::Lost) {
        const bool accepted = co_await reconnect(attempt, upstream);
        result.acceptsConnections = accepted;
    }
    activeAttempts_.erase(key);
    co_return result;
}

asio::awaitable<bool> ForwardingClient::tryConnect(protocol::HostRecord upstream)
{
    // The ids of sub-requests start at 1.
    const AttemptKey key{0, ++trialCount_};
    auto attempt = std::make_shared<ActiveAttempt>();
    activeAttempts_[key] = attempt;
    startTimeoutChecks();
    const bool accepted = co_await reconnect(attempt, std::move(upstream));
    activeAttempts_.erase(key);
    co_return accepted;
}

asio::awaitable<bool> ForwardingClient::connect(ActiveAttemptPtr attempt, std::string address)
{
    const auto endpoint = transport::parseEndpoint(address);
    if (!isOk(endpoint))
        co_return false;
    const auto executor = co_await asio::this_coro::executor;
    attempt->connection = std::make_shared<Connection>(executor, ++connectionCount_);
    attempt->timeoutAt = runtime_.clock().now() + ConnectTimeout;
    auto &socket = attempt->connection->socket;
    const auto [error] = co_await socket.async_connect(valueOf(endpoint), AwaitTuple);
    if (error || attempt->timedOut)
        co_return false;
    setSocketOptions(socket);
    co_return true;
}

asio::awaitable<bool> ForwardingClient::reconnect(ActiveAttemptPtr attempt,
                                                  protocol::HostRecord upstream)
{
    openedConnections_.add();
    const bool connected = co_await connect(attempt, upstream.address);
    if (!connected)
        co_return false;
    attempt->connection->idleTimeout = DefaultIdleTimeout;
    releaseIdle(upstream.name, attempt->connection);
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
    const auto bytes = protocol_.serialize(*request, upstream, timeLeft);
    const auto [writeError, sent] =
            co_await asio::async_write(connection->socket, asio::buffer(bytes), AwaitTuple);
    if (writeError) {
        result.end = resolveEnd(*attempt,
                                sent > 0 ? state::AttemptEnd::Lost : state::AttemptEnd::NotWritten);
        co_return result;
    }
    auto received = co_await readResponse(connection, request);
    if (const auto *end = std::get_if<state::AttemptEnd>(&received)) {
        result.end = resolveEnd(*attempt, *end);
        co_return result;
    }
    auto &response = std::get<UpstreamResponse>(received);
    if (connection->buffer.size() > 0)
        reportBytesBehind(*connection, request->id);
    // Bytes after a complete response belong to no request. An upstream that does not echo the id
    // may send a late response that cannot be told from the next one.
    const bool keepOpen = response.keep_alive() && connection->buffer.size() == 0
                          && !response.need_eof() && response.count(names_.requestId) > 0;
    connection->idleTimeout = parseIdleTimeout(response[http::field::keep_alive]);
    const auto notice = noticeParser_.parse(response, upstream,
                                            response.result() == http::status::service_unavailable);
    result = protocol_.classify(std::move(response), request->id);
    const bool isOwn =
            result.end != state::AttemptEnd::Dropped && result.end != state::AttemptEnd::Replaced;
    if (isOwn)
        result.notice = notice;
    connection->reused = true;
    if (keepOpen && isOwn)
        releaseIdle(upstream, connection);
    co_return result;
}

asio::awaitable<std::variant<UpstreamResponse, state::AttemptEnd>>
ForwardingClient::readResponse(ConnectionPtr connection,
                               std::shared_ptr<const ForwardRequest> request)
{
    const bool withBody = request->method != "HEAD";
    bool skipped = false;
    for (int count = 0; count < MaxSkippedMessages; ++count) {
        auto message = co_await readMessage(connection, withBody);
        if (std::holds_alternative<state::AttemptEnd>(message))
            co_return message;
        auto &response = std::get<UpstreamResponse>(message);
        if (!isExpectedStatus(response.result_int())) {
            faults_.report(
                    ResponseFault::InvalidStatus, connection->number,
                    {{"request", request->id}, {"status", std::to_string(response.result_int())}});
            co_return state::AttemptEnd::Dropped;
        }
        if (response.result_int() < FirstFinalStatus)
            continue;
        if (isResponseTo(response, *connection, request->id)) {
            // An upstream that repeats responses may repeat this one as well.
            if (skipped)
                response.keep_alive(false);
            co_return message;
        }
        skipped = true;
        faults_.report(ResponseFault::OtherRequest, connection->number,
                       {{"request", request->id},
                        {"received", std::string(response[names_.requestId])},
                        {"status", std::to_string(response.result_int())}});
    }
    co_return state::AttemptEnd::Oversized;
}

bool ForwardingClient::isResponseTo(const UpstreamResponse &response, const Connection &connection,
                                    const std::string &requestId) const
{
    const auto echoed = response.find(names_.requestId);
    if (echoed == response.end())
        return !connection.reused;
    return std::string_view(echoed->value().data(), echoed->value().size()) == requestId;
}

asio::awaitable<std::variant<UpstreamResponse, state::AttemptEnd>>
ForwardingClient::readMessage(ConnectionPtr connection, bool withBody)
{
    const auto evict = [connection] {
        asio::post(connection->socket.get_executor(), [connection] {
            boost::system::error_code ignored;
            connection->socket.close(ignored);
        });
    };
    transport::ReceiveBudget::Share share(transport::processReceiveBudget(), evict);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(MaxResponseBytes);
    parser.skip(!withBody);
    const auto unreadable = co_await readStatusLineStart(connection);
    if (unreadable)
        co_return *unreadable;
    bool headChecked = false;
    while (!parser.is_done()) {
        const auto [error, received] = co_await http::async_read_some(
                connection->socket, connection->buffer, parser, AwaitTuple);
        if (error)
            co_return share.isEvicted() ? state::AttemptEnd::Oversized : endForReadError(error);
        const bool hasNewHead = parser.is_header_done() && !headChecked;
        headChecked = parser.is_header_done();
        if (hasNewHead && containsSecondHead(parser.get(), names_)) {
            faults_.report(ResponseFault::SecondHead, connection->number,
                           {{"status", std::to_string(parser.get().result_int())}});
            co_return state::AttemptEnd::Dropped;
        }
        if (!share.growTo(parser.get().body().size()))
            co_return state::AttemptEnd::Oversized;
    }
    auto response = parser.release();
    if (co_await containsSecondResponse(connection, response)) {
        faults_.report(ResponseFault::FilledBody, connection->number,
                       {{"status", std::to_string(response.result_int())},
                        {"body_bytes", std::to_string(response.body().size())}});
        co_return state::AttemptEnd::Dropped;
    }
    co_return response;
}

asio::awaitable<std::optional<state::AttemptEnd>>
ForwardingClient::readStatusLineStart(ConnectionPtr connection)
{
    constexpr std::size_t MaxReadBytes = 64U * 1024U;
    auto &buffer = connection->buffer;
    while (buffer.size() < StatusLineStartBytes && mayBeginStatusLine(textOf(buffer))) {
        const auto space = buffer.prepare(beast::read_size(buffer, MaxReadBytes));
        const auto [error, received] =
                co_await connection->socket.async_read_some(space, AwaitTuple);
        if (error)
            co_return endForReadError(error);
        buffer.commit(received);
    }
    if (mayBeginStatusLine(textOf(buffer)))
        co_return std::nullopt;
    faults_.report(ResponseFault::NoResponse, connection->number,
                   {{"bytes", std::to_string(buffer.size())}});
    co_return state::AttemptEnd::Dropped;
}

asio::awaitable<bool> ForwardingClient::containsSecondResponse(ConnectionPtr connection,
                                                               const UpstreamResponse &response)
{
    const auto waitUntil = runtime_.clock().now() + SegmentDelay;
    while (true) {
        const auto head = findEmbeddedHead(response.body(), textOf(connection->buffer), names_);
        if (head.found || head.unfinishedBytes == 0)
            co_return head.found;
        if (receiveAvailable(connection->socket, connection->buffer))
            continue;
        if (head.unfinishedBytes < MinAwaitedBytes || response.need_eof()
            || runtime_.clock().now() >= waitUntil)
            co_return false;
        co_await runtime_.clock().sleep(SegmentPollInterval);
    }
}

void ForwardingClient::reportBytesBehind(const Connection &connection, const std::string &requestId)
{
    const auto text = textOf(connection.buffer);
    const auto fault =
            mayBeginStatusLine(text) ? ResponseFault::ResponseBehind : ResponseFault::BytesBehind;
    faults_.report(fault, connection.number,
                   {{"request", requestId}, {"bytes", std::to_string(text.size())}});
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
    attempt.timeoutAt = std::min(attempt.timeoutAt, runtime_.clock().now() + protocol_.cancelDelay);
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

} // namespace persimmon::forward
