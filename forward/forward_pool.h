#pragma once

#include "forward/answer_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <set>
#include <tuple>

namespace persimmon::forward {

/// One attempt of a sub-request.
struct AttemptKey
{
    std::uint64_t sub = 0;
    std::uint32_t attempt = 0;

    bool operator<(const AttemptKey &other) const
    {
        return std::tie(sub, attempt) < std::tie(other.sub, other.attempt);
    }
};

/// Keeps connections to upstreams and exchanges requests on them. For one-thread runtimes only;
/// must outlive the coroutines that it returns.
class ForwardPool
{
public:
    /// An attempt that lost to another is left this time to finish, since its connection can then
    /// be used again.
    static constexpr std::chrono::milliseconds LingerTime{150};
    /// Longest time to establish a connection: a few round trips between regions.
    static constexpr std::chrono::milliseconds ConnectTime{250};

    ForwardPool(transport::Runtime &runtime, transport::Metrics &metrics, HeaderNames names);

    /// Sends @p request to the upstream of @p action and waits for the answer.
    /// @param deadline when the upstream must have answered.
    /// @param repeatable false uses only connections that were idle for a short time.
    boost::asio::awaitable<state::AttemptResult>
    execute(AttemptKey key, protocol::HostRecord upstream,
            std::shared_ptr<const ForwardRequest> request, transport::TimePoint deadline,
            bool repeatable);

    /// Ends an attempt after LingerTime.
    void cancel(AttemptKey key);

    /// Closes idle connections to upstreams that are not in @p names.
    void retain(const std::set<std::string> &names);

    /// Closes all idle connections, for example after a pause of the process.
    void closeIdle() { idle_.clear(); }

    std::size_t idleCount() const;

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Connection
    {
        explicit Connection(const boost::asio::any_io_executor &executor) : socket(executor) {}

        Socket socket;
        boost::beast::flat_buffer buffer;
        transport::TimePoint idleSince;
        /// Time after which the upstream closes it.
        std::chrono::milliseconds idleTime{0};
    };
    struct Flight
    {
        std::shared_ptr<Connection> connection;
        transport::TimePoint abortAt;
        bool aborted = false;
        bool cancelled = false;
    };
    using FlightPtr = std::shared_ptr<Flight>;

    std::shared_ptr<Connection> takeIdle(const std::string &upstream, bool repeatable);
    void keep(const std::string &upstream, const std::shared_ptr<Connection> &connection);
    boost::asio::awaitable<bool> connect(FlightPtr flight, std::string address);
    boost::asio::awaitable<state::AttemptResult>
    exchange(FlightPtr flight, std::string upstream, std::shared_ptr<const ForwardRequest> request,
             transport::TimePoint deadline);
    static state::AttemptEnd endOf(const Flight &flight, state::AttemptEnd otherwise);
    void watch();
    void abortDue();

    transport::Runtime &runtime_;
    const HeaderNames names_;
    transport::Counter &opened_;
    transport::Counter &reused_;
    std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
    std::map<AttemptKey, FlightPtr> flights_;
    bool watching_ = false;
};

} // namespace persimmon::forward
