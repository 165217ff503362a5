#include "forward/forward_pool.h"

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
/// How often attempts are checked for their time limits.
constexpr std::chrono::milliseconds AbortInterval{40};
/// Time that an upstream has beyond the deadline to report that it passed.
constexpr std::chrono::milliseconds DeadlineSlack{150};
/// A kept connection is dropped this long before the upstream would close it.
constexpr std::chrono::milliseconds IdleMargin{600};
/// Idle time of upstreams that state none.
constexpr std::chrono::milliseconds DefaultIdleTime{30'000};
/// A request that must not run twice goes out only on a connection that was in use this recently.
constexpr std::chrono::milliseconds FreshTime{1000};
/// Unacknowledged data ends a connection after this time.
constexpr unsigned UserTimeoutMilliseconds = 2000;
constexpr std::uint64_t AnswerLimit = 8ULL * 1024 * 1024;

void setOptions(asio::ip::tcp::socket &socket)
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

/// @return the time in "timeout=N" of a Keep-Alive field, or DefaultIdleTime.
std::chrono::milliseconds readIdleTime(beast::string_view field)
{
    constexpr std::string_view Name = "timeout=";
    const std::string_view text(field.data(), field.size());
    const auto at = text.find(Name);
    if (at == std::string_view::npos)
        return DefaultIdleTime;
    int seconds = 0;
    const auto *begin = text.data() + at + Name.size();
    std::from_chars(begin, text.data() + text.size(), seconds);
    return std::chrono::seconds(std::max(seconds, 0));
}

} // namespace

ForwardPool::ForwardPool(transport::Runtime &runtime, transport::Metrics &metrics,
                         HeaderNames names)
    : runtime_(runtime),
      names_(std::move(names)),
      opened_(metrics.counter("persimmon_upstream_connections_total",
                              "Connections opened to upstreams.")),
      reused_(metrics.counter("persimmon_upstream_reuses_total",
                              "Requests sent on a kept connection."))
{
}

std::shared_ptr<ForwardPool::Connection> ForwardPool::takeIdle(const std::string &upstream,
                                                               bool repeatable)
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
        const bool usable = idle + IdleMargin < connection->idleTime
                            && (repeatable || idle < FreshTime)
                            && !hasUnexpectedInput(connection->socket);
        if (usable)
            return connection;
    }
    return nullptr;
}

void ForwardPool::keep(const std::string &upstream, const std::shared_ptr<Connection> &connection)
{
    connection->idleSince = runtime_.clock().now();
    idle_[upstream].push_back(connection);
}

asio::awaitable<state::AttemptResult>
ForwardPool::execute(AttemptKey key, protocol::HostRecord upstream,
                     std::shared_ptr<const ForwardRequest> request, transport::TimePoint deadline,
                     bool repeatable)
{
    auto flight = std::make_shared<Flight>();
    flights_[key] = flight;
    watch();
    flight->connection = takeIdle(upstream.name, repeatable);
    bool connected = flight->connection != nullptr;
    if (connected) {
        reused_.add();
    } else {
        opened_.add();
        connected = co_await connect(flight, upstream.address);
    }
    state::AttemptResult result;
    result.end = endOf(*flight, state::AttemptEnd::NotWritten);
    result.written = false;
    if (connected)
        result = co_await exchange(flight, upstream.name, request, deadline);
    flights_.erase(key);
    co_return result;
}

asio::awaitable<bool> ForwardPool::connect(FlightPtr flight, std::string address)
{
    const auto endpoint = transport::parseEndpoint(address);
    if (!isOk(endpoint))
        co_return false;
    const auto executor = co_await asio::this_coro::executor;
    flight->connection = std::make_shared<Connection>(executor);
    flight->abortAt = runtime_.clock().now() + ConnectTime;
    auto &socket = flight->connection->socket;
    const auto [error] = co_await socket.async_connect(valueOf(endpoint), AwaitTuple);
    if (error || flight->aborted)
        co_return false;
    setOptions(socket);
    co_return true;
}

asio::awaitable<state::AttemptResult>
ForwardPool::exchange(FlightPtr flight, std::string upstream,
                      std::shared_ptr<const ForwardRequest> request, transport::TimePoint deadline)
{
    state::AttemptResult result;
    const auto now = runtime_.clock().now();
    const auto timeLeft = std::chrono::floor<std::chrono::milliseconds>(deadline - now);
    if (timeLeft.count() <= 0 || flight->cancelled) {
        result.end = flight->cancelled ? state::AttemptEnd::Cancelled : state::AttemptEnd::TimedOut;
        result.written = false;
        keep(upstream, flight->connection);
        co_return result;
    }
    flight->abortAt = deadline + DeadlineSlack;
    const auto connection = flight->connection;
    const auto text = request->serialize(names_, upstream, timeLeft);
    const auto [writeError, sent] =
            co_await asio::async_write(connection->socket, asio::buffer(text), AwaitTuple);
    if (writeError) {
        result.end =
                endOf(*flight, sent > 0 ? state::AttemptEnd::Lost : state::AttemptEnd::NotWritten);
        co_return result;
    }
    UpstreamResponse response;
    do {
        http::response_parser<http::string_body> parser;
        parser.body_limit(AnswerLimit);
        if (request->method == "HEAD")
            parser.skip(true);
        const auto [readError, received] = co_await http::async_read(
                connection->socket, connection->buffer, parser, AwaitTuple);
        if (readError) {
            const bool unreadable = isParseError(readError);
            result.end = endOf(*flight,
                               unreadable ? state::AttemptEnd::Dropped : state::AttemptEnd::Lost);
            co_return result;
        }
        response = parser.release();
    } while (response.result_int() < 200);
    // Bytes after a complete answer belong to no request.
    const bool keepOpen =
            response.keep_alive() && connection->buffer.size() == 0 && !response.need_eof();
    connection->idleTime = readIdleTime(response[http::field::keep_alive]);
    result = checkAnswer(std::move(response), names_, request->id);
    if (keepOpen && result.end != state::AttemptEnd::Dropped
        && result.end != state::AttemptEnd::Replaced)
        keep(upstream, connection);
    co_return result;
}

state::AttemptEnd ForwardPool::endOf(const Flight &flight, state::AttemptEnd otherwise)
{
    if (flight.cancelled)
        return state::AttemptEnd::Cancelled;
    if (flight.aborted && otherwise != state::AttemptEnd::NotWritten)
        return state::AttemptEnd::TimedOut;
    return otherwise;
}

void ForwardPool::cancel(AttemptKey key)
{
    const auto found = flights_.find(key);
    if (found == flights_.end() || found->second->cancelled)
        return;
    auto &flight = *found->second;
    flight.cancelled = true;
    flight.abortAt = std::min(flight.abortAt, runtime_.clock().now() + LingerTime);
}

void ForwardPool::watch()
{
    if (watching_)
        return;
    watching_ = true;
    runtime_.spawn([](ForwardPool &self) -> asio::awaitable<void> {
        while (!self.flights_.empty()) {
            co_await self.runtime_.clock().sleep(AbortInterval);
            self.abortDue();
        }
        self.watching_ = false;
    }(*this));
}

void ForwardPool::abortDue()
{
    const auto now = runtime_.clock().now();
    for (const auto &[key, flight] : flights_) {
        if (flight->aborted || !flight->connection || now < flight->abortAt)
            continue;
        flight->aborted = true;
        boost::system::error_code ignored;
        flight->connection->socket.close(ignored);
    }
}

void ForwardPool::retain(const std::set<std::string> &names)
{
    std::erase_if(idle_, [&names](const auto &row) { return !names.contains(row.first); });
}

std::size_t ForwardPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[name, connections] : idle_)
        count += connections.size();
    return count;
}

} // namespace persimmon::forward
