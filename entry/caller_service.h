#pragma once

#include "entry/locator.h"
#include "entry/non_repeatable_executor.h"
#include "entry/refusal_log.h"

namespace persimmon::entry {

/// Settings of the caller interface.
struct EntryServerOptions
{
    EntryIdentity identity;
    /// How long callers may cache a locate answer.
    std::chrono::milliseconds validFor{3000};
    /// Caller port of all entries.
    std::uint16_t entryPort = protocol::EntryPort;
};

/// @return the HTTP response that carries @p answer.
transport::HttpResponse makeResponse(const protocol::QueryResponse &answer);

/// Handles the requests of callers. Ownership is shared: whoever starts a coroutine of the service
/// must hold a reference until it has completed. Callable from any thread.
class CallerService
{
public:
    /// @param runtime must outlive the service, as must @p metrics and all objects that the hooks
    ///        refer to.
    CallerService(transport::Runtime &runtime, transport::Metrics &metrics, EntryHooks hooks,
                  ExecuteQuery execute, EntryServerOptions options);

    /// Handles GET /v1/locate, GET /v1/health and POST /v1/query.
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);

    /// Expires idempotency records and tracks whether this host is in service, until stop().
    /// @param self service to watch; the coroutine holds a reference.
    static boost::asio::awaitable<void> watch(std::shared_ptr<CallerService> self);

    /// Probes the entries that locate answers may contain, until stop().
    boost::asio::awaitable<void> watchEntries() const { return EntryProber::watch(prober_); }

    /// @return the most recent requests without the outcome "done".
    const RefusalLog &refusals() const { return refusals_; }

    /// Announces the shutdown, so that locate answers no longer contain this entry.
    /// @return how long callers may still receive and use answers that contain this entry.
    transport::Duration announceLeaving();

    /// Refuses all requests that arrive after this call.
    void refuseNewRequests();

    /// Makes watch() and watchEntries() return after their next check.
    void stop();

private:
    transport::HttpResponse handleLocate(const std::string &target);
    boost::asio::awaitable<protocol::QueryResponse> handleQuery(std::string body);
    boost::asio::awaitable<protocol::QueryResponse> runQuery(protocol::QueryRequest request);
    /// @return the refusal if the request cannot be executed, else std::nullopt.
    boost::asio::awaitable<std::optional<protocol::QueryResponse>>
    validateRequest(const protocol::QueryRequest &request);
    boost::asio::awaitable<bool> isViewConfirmed();
    protocol::QueryResponse makeShutdownRefusal(const std::string &caller);
    void updateServiceState();
    bool isInService() const;
    bool isRefusing() const;
    state::TimePoint now() const { return runtime_.clock().now(); }
    void recordRefusal(RefusalRecord refusal, const protocol::QueryResponse &answer);
    void recordMetrics(const protocol::QueryResponse &answer);

    transport::Runtime &runtime_;
    transport::Metrics &metrics_;
    const EntryHooks hooks_;
    const ExecuteQuery execute_;
    const EntryServerOptions options_;
    const std::shared_ptr<EntryProber> prober_;
    const Locator locator_;
    NonRepeatableExecutor nonRepeatable_;
    RefusalLog refusals_;
    std::atomic<bool> outOfServiceTooLong_ = false;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> stopped_ = false;
    /// Accessed by watch() only.
    state::TimePoint lastInServiceAt_{};
};

} // namespace persimmon::entry
