#include "transport/rpc_client.h"

#include "transport/rpc_codec.h"

namespace asio = boost::asio;

namespace persimmon::transport {

RpcClient::RpcClient(asio::any_io_executor executor, Endpoint endpoint)
    : executor_(std::move(executor)),
      endpoint_(std::move(endpoint))
{
}

RpcClient::~RpcClient()
{
    if (connection_)
        connection_->close();
}

asio::awaitable<TransportResult<Json::Value>>
RpcClient::call(std::string method, Json::Value parameters, Duration timeout)
{
    if (!connection_ || !connection_->isOpen()) {
        connection_ = std::make_shared<HttpConnection>(executor_);
        const auto connected = co_await connection_->connect(endpoint_, timeout);
        if (!isOk(connected))
            co_return errorOf(connected);
    }
    HttpRequest request("POST", RpcPath, buildRpcRequest(method, parameters));
    const auto connection = connection_;
    auto response = co_await connection->send(std::move(request), timeout);
    if (!isOk(response))
        co_return errorOf(response);
    Json::Value result;
    std::string errorMessage;
    if (!parseRpcResponse(method, valueOf(response).body, result, errorMessage))
        co_return TransportError{TransportErrorCode::Malformed, errorMessage, true};
    co_return result;
}

} // namespace persimmon::transport
