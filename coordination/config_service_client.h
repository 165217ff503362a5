#pragma once

#include "coordination/coordination_error.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace persimmon::coordination {

/// HTTP client of the configuration service, which also serves the host list. Uses one persistent
/// connection. Calls must not overlap and must be made by coroutines on the executor.
class ConfigServiceClient
{
public:
    ConfigServiceClient(boost::asio::any_io_executor executor, transport::Endpoint service);
    ~ConfigServiceClient();

    /// Reads the configuration entries changed after @p since.
    /// @param wait maximum time for which the service may delay the reply until a newer revision
    ///        exists; zero for an immediate reply.
    boost::asio::awaitable<CoordinationResult<protocol::ConfigResponse>>
    readConfig(protocol::HistoryPosition since, std::chrono::milliseconds wait);

    /// Reads the host list if it changed after @p since; see readConfig().
    boost::asio::awaitable<CoordinationResult<protocol::HostsResponse>>
    readHosts(protocol::HistoryPosition since, std::chrono::milliseconds wait);

private:
    boost::asio::awaitable<CoordinationResult<std::string>>
    fetch(std::string path, protocol::HistoryPosition since, std::chrono::milliseconds wait);

    boost::asio::any_io_executor executor_;
    transport::Endpoint service_;
    std::shared_ptr<transport::HttpConnection> connection_;
};

} // namespace persimmon::coordination
