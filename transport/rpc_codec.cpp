// The client headers of libjsonrpccpp use dynamic exception specifications, which C++17 removed, so
// only this file is compiled as C++14.
#include "transport/rpc_codec.h"

#include "transport/json_nesting.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>

namespace persimmon {
namespace transport {

namespace {

/// Splits the blocking call of libjsonrpccpp in two, so that a coroutine can perform the I/O in
/// between: a first call with an empty response captures the request, a second call parses the
/// response.
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
        // Expected: the empty response is not valid JSON-RPC. Only the request is needed.
        return connector.request();
    }
    return connector.request();
}

bool parseRpcResponse(const std::string &method, const std::string &body, Json::Value &result,
                      std::string &errorMessage)
{
    if (isNestedDeeper(body, MaxRpcJsonDepth)) {
        errorMessage = "the response is nested too deeply";
        return false;
    }
    CapturingConnector connector(body);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        result = client.CallMethod(method, Json::Value(Json::objectValue));
        return true;
    } catch (const jsonrpc::JsonRpcException &exception) {
        errorMessage = exception.what();
        return false;
    }
}

} // namespace transport
} // namespace persimmon
