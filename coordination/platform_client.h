#pragma once

#include "coordination/coordination_error.h"
#include "protocol/protocol.h"
#include "transport/transport.h"

namespace persimmon::coordination {

/// Reads the configuration service and the host list over one kept connection. Calls must not
/// overlap and must come from coroutines on the executor.
class PlatformClient
{
public:
    PlatformClient(boost::asio::any_io_executor executor, transport::Endpoint service);
    ~PlatformClient();

    /// @param since revision that the reader holds.
    /// @param wait time that the service may wait for a newer revision; zero for an answer at once.
    boost::asio::awaitable<CoordinationResult<protocol::ConfigReply>>
    readConfig(std::uint64_t since, std::chrono::milliseconds wait);

    /// Reads the host list; see readConfig().
    boost::asio::awaitable<CoordinationResult<protocol::HostsReply>>
    readHosts(std::uint64_t since, std::chrono::milliseconds wait);

private:
    boost::asio::awaitable<CoordinationResult<std::string>>
    fetch(std::string path, std::uint64_t since, std::chrono::milliseconds wait);

    boost::asio::any_io_executor executor_;
    transport::Endpoint service_;
    std::shared_ptr<transport::HttpConnection> connection_;
};

} // namespace persimmon::coordination
