#pragma once

#include "entry/locator.h"
#include "entry/non_repeatable_executor.h"
#include "entry/refusal_log.h"

namespace persimmon::entry {

/// Settings of the caller interface.
struct EntryServerOptions
{
    EntryIdentity identity;
    /// How long callers may keep a locate answer.
    std::chrono::milliseconds validFor{3000};
    std::uint16_t entryPort = protocol::EntryPort;
};

/// @return the HTTP response that carries @p answer.
transport::HttpResponse makeResponse(const protocol::QueryAnswer &answer);

/// Answers the requests of callers. Its users share its ownership: each must keep it for as long as
/// a coroutine of the service runs. Callable from any thread.
class CallerService
{
public:
    /// @param runtime must outlive the service, as must @p metrics and what the hooks refer to.
    CallerService(transport::Runtime &runtime, transport::Metrics &metrics, EntryHooks hooks,
                  ExecuteQuery execute, EntryServerOptions options);

    /// Answers GET /v1/locate and POST /v1/query.
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);

    /// Watches epochs and whether this host is in service, until end().
    /// @param self service to watch; the coroutine keeps it.
    static boost::asio::awaitable<void> watch(std::shared_ptr<CallerService> self);

    /// Tests the entries that locate answers name, until end().
    boost::asio::awaitable<void> watchEntries() const { return EntryProber::watch(prober_); }

    /// @return the last requests that did not end as done.
    const RefusalLog &refusals() const { return refusals_; }

    /// Lets this entry disappear from locate answers.
    /// @return how long callers may still get and use answers that name this entry.
    transport::Duration announceLeaving();

    /// Refuses every new request from now on.
    void refuseNewRequests();

    /// Lets watch() and watchEntries() end at their next check.
    void end();

private:
    transport::HttpResponse handleLocate(const std::string &target);
    boost::asio::awaitable<protocol::QueryAnswer> handleQuery(std::string body);
    boost::asio::awaitable<protocol::QueryAnswer> runQuery(protocol::QueryRequest request);
    boost::asio::awaitable<std::optional<protocol::QueryAnswer>>
    findRefusal(const protocol::QueryRequest &request);
    boost::asio::awaitable<bool> isViewVerified();
    protocol::QueryAnswer refuseShutdown(const std::string &caller);
    void check();
    bool isInService() const;
    bool isRefusing() const;
    state::TimePoint now() const { return runtime_.clock().now(); }
    void logRefusal(RefusalRow row, const protocol::QueryAnswer &answer);
    void record(const protocol::QueryAnswer &answer);

    transport::Runtime &runtime_;
    transport::Metrics &metrics_;
    const EntryHooks hooks_;
    const ExecuteQuery execute_;
    const EntryServerOptions options_;
    const std::shared_ptr<EntryProber> prober_;
    const Locator locator_;
    NonRepeatableExecutor nonRepeatable_;
    RefusalLog refusals_;
    std::atomic<bool> outForLong_ = false;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> ended_ = false;
    /// Only watch() uses these two.
    state::TimePoint inServiceAt_{};
};

} // namespace persimmon::entry
