#pragma once

#include "transport/http_connection.h"

#include <json/value.h>

#include <string>

namespace persimmon::transport {

/// Path of the JSON-RPC endpoint on the HTTP server of a process.
inline constexpr const char *RpcPath = "/rpc";

/// JSON-RPC client of one process over a persistent connection. Calls must not overlap and must be
/// made from coroutines on the executor of the client.
class RpcClient
{
public:
    RpcClient(boost::asio::any_io_executor executor, Endpoint endpoint);
    ~RpcClient();

    /// Calls a method. Connects first when no connection is open.
    /// @param timeout limit for connecting and, separately, for the request.
    /// @return the result; Malformed when the response is a JSON-RPC error or not valid JSON-RPC.
    boost::asio::awaitable<TransportResult<Json::Value>>
    call(std::string method, Json::Value parameters, Duration timeout);

private:
    boost::asio::any_io_executor executor_;
    Endpoint endpoint_;
    std::shared_ptr<HttpConnection> connection_;
};

} // namespace persimmon::transport
