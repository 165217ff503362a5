#pragma once

#include "entry/caller_service.h"

namespace persimmon::entry {

/// HTTP server for callers. May be destroyed while its coroutines run, since they share ownership
/// of the caller service.
class EntryServer
{
public:
    /// @param runtime must outlive the server and its coroutines, as must @p metrics and all
    ///        objects that the hooks refer to.
    EntryServer(transport::Runtime &runtime, transport::Metrics &metrics, EntryHooks hooks,
                ExecuteQuery execute, EntryServerOptions options);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Binds to @p endpoint and accepts connections.
    /// @return the bound endpoint, or BindFailed.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Shuts down gracefully: announces the shutdown, serves until cached locate answers have
    /// expired, refuses new requests with the address of another entry, and completes when no
    /// request is running. The server must outlive this call.
    boost::asio::awaitable<void> shutdown();

    /// Closes the listener and all connections immediately, and stops watch() and watchEntries().
    void close();

    /// Expires idempotency records and tracks whether this host is in service, until close() or the
    /// end of shutdown().
    boost::asio::awaitable<void> watch() { return CallerService::watch(service_); }

    /// Probes the entries that locate answers may contain, as long as watch() runs.
    boost::asio::awaitable<void> watchEntries() { return service_->watchEntries(); }

    /// @return the most recent requests without the outcome "done".
    const RefusalLog &refusals() const { return service_->refusals(); }

private:
    transport::Runtime &runtime_;
    const std::shared_ptr<CallerService> service_;
    transport::HttpServer server_;
};

} // namespace persimmon::entry
