// libjsonrpccpp's client headers use dynamic exception specifications, which C++17 removed, so this
// file alone is compiled as C++14.
#include "transport/rpc_codec.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>

namespace persimmon {
namespace transport {

namespace {

/// Splits libjsonrpccpp's blocking call in two, so that a coroutine can do the I/O in between: a
/// first call without a response captures the request, a second call reads the response.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
    explicit CapturingConnector(const std::string &response) : response_(response) {}

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        request_ = message;
        result = response_;
    }

    const std::string &request() const { return request_; }

private:
    std::string response_;
    std::string request_;
};

} // namespace

std::string buildRpcRequest(const std::string &method, const Json::Value &parameters)
{
    CapturingConnector connector("");
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod(method, parameters);
    } catch (const jsonrpc::JsonRpcException &) {
        // The empty response is no JSON-RPC; only the request is wanted here.
        return connector.request();
    }
    return connector.request();
}

bool readRpcResponse(const std::string &method, const std::string &body, Json::Value &result,
                     std::string &fault)
{
    CapturingConnector connector(body);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        result = client.CallMethod(method, Json::Value(Json::objectValue));
        return true;
    } catch (const jsonrpc::JsonRpcException &exception) {
        fault = exception.what();
        return false;
    }
}

} // namespace transport
} // namespace persimmon
