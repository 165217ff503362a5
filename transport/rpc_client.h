#pragma once

#include "transport/http_connection.h"

#include <json/value.h>

#include <string>

namespace persimmon::transport {

/// Path of the JSON-RPC endpoint on a process's HTTP server.
inline constexpr const char *RpcPath = "/rpc";

/// Calls JSON-RPC methods of one process over one kept connection. Calls must not overlap and must
/// come from coroutines on @p executor.
class RpcClient
{
public:
    RpcClient(boost::asio::any_io_executor executor, Endpoint endpoint);
    ~RpcClient();

    /// Calls a method, connecting first when there is no connection.
    /// @return the result; Malformed when the response is an error or no JSON-RPC.
    boost::asio::awaitable<TransportResult<Json::Value>>
    call(std::string method, Json::Value parameters, Duration timeout);

private:
    boost::asio::any_io_executor executor_;
    Endpoint endpoint_;
    std::shared_ptr<HttpConnection> connection_;
};

} // namespace persimmon::transport
