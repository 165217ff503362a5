#pragma once

#include "entry/caller_service.h"

namespace persimmon::entry {

/// The HTTP interface for callers: GET /v1/locate and POST /v1/query. It may be destroyed while its
/// coroutines run, since they own the caller service.
class EntryServer
{
public:
    /// @param runtime must outlive the server and its coroutines, as must @p metrics and what the
    ///        hooks refer to.
    EntryServer(transport::Runtime &runtime, transport::Metrics &metrics, EntryHooks hooks,
                ExecuteQuery execute, EntryServerOptions options);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Binds and begins to accept.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Leaves locate answers, serves out the validity period, refuses new requests with a better
    /// address, and ends when no request is running. The server must outlive this call.
    boost::asio::awaitable<void> shutdown();

    /// Closes the listener and every connection at once, and lets the watches end.
    void close();

    /// Watches epochs and whether this host is in service, until close() or shutdown() has ended.
    boost::asio::awaitable<void> watch() { return CallerService::watch(service_); }

    /// Tests the entries that locate answers name, as long as watch() runs.
    boost::asio::awaitable<void> watchEntries() { return service_->watchEntries(); }

    /// @return the last requests that did not end as done.
    const RefusalLog &refusals() const { return service_->refusals(); }

private:
    transport::Runtime &runtime_;
    const std::shared_ptr<CallerService> service_;
    transport::HttpServer server_;
};

} // namespace persimmon::entry
