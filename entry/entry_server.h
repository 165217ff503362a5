#pragma once

#include "entry/locator.h"
#include "entry/non_repeatable_executor.h"

namespace persimmon::entry {

/// Settings of the caller interface.
struct EntryServerOptions
{
    EntryIdentity identity;
    /// How long callers may keep a locate answer.
    std::chrono::milliseconds validFor{3000};
    std::uint16_t entryPort = protocol::EntryPort;
};

/// The HTTP interface for callers: GET /v1/locate and POST /v1/query.
class EntryServer
{
public:
    EntryServer(transport::Runtime &runtime, transport::Metrics &metrics, EntryHooks hooks,
                ExecuteQuery execute, EntryServerOptions options);

    /// Binds and begins to accept.
    transport::TransportResult<transport::Endpoint> listen(const transport::Endpoint &endpoint);

    /// Leaves locate answers, serves out the validity period, refuses new requests with a better
    /// address, and ends when no request is running.
    boost::asio::awaitable<void> shutdown();

    /// Closes the listener and every connection at once.
    void close() { server_.close(); }

    /// Watches epochs and whether this host is in service; runs for the life of the process.
    boost::asio::awaitable<void> watch();

    /// Tests the entries that locate answers name; runs for the life of the process.
    boost::asio::awaitable<void> watchEntries() { return prober_.watch(); }

private:
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);
    transport::HttpResponse handleLocate(const std::string &target);
    boost::asio::awaitable<protocol::QueryAnswer> handleQuery(std::string body);
    boost::asio::awaitable<protocol::QueryAnswer> runQuery(protocol::QueryRequest request);
    boost::asio::awaitable<std::optional<protocol::QueryAnswer>>
    findRefusal(const protocol::QueryRequest &request);
    boost::asio::awaitable<bool> isViewVerified();
    protocol::QueryAnswer refuseShutdown(const std::string &caller);
    bool isInService() const;
    void record(const protocol::QueryAnswer &answer);

    transport::Runtime &runtime_;
    transport::Metrics &metrics_;
    const EntryHooks hooks_;
    const ExecuteQuery execute_;
    const EntryServerOptions options_;
    EntryProber prober_;
    const Locator locator_;
    NonRepeatableExecutor nonRepeatable_;
    std::atomic<bool> refusing_ = false;
    std::atomic<bool> stopping_ = false;
    transport::HttpServer server_;
};

} // namespace persimmon::entry
