#include "transport/rpc_service.h"

#include "transport/json_nesting.h"
#include "transport/log.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace persimmon::transport {

class RpcService::Dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    Dispatcher()
        : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
                jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add(const std::string &name, Method method)
    {
        protocol_->AddProcedure(
                jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        methods_[name] = std::move(method);
    }

    std::string handle(const std::string &body)
    {
        std::string response;
        protocol_->HandleRequest(body, response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        try {
            output = methods_.at(procedure.GetProcedureName())(input);
        } catch (const std::exception &exception) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                            exception.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure & /*procedure*/,
                                const Json::Value & /*input*/) override
    {
        // Notifications are not supported; they are ignored.
    }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
    std::map<std::string, Method> methods_;
};

RpcService::RpcService() : dispatcher_(std::make_unique<Dispatcher>()) {}

RpcService::~RpcService() = default;

void RpcService::add(const std::string &name, Method method)
{
    dispatcher_->add(name, std::move(method));
}

HttpResponse RpcService::handle(const std::string &body) const
{
    if (!isNestedDeeper(body, MaxRpcJsonDepth))
        return {200, dispatcher_->handle(body)};
    logWarning("rpc", "rejected a request that is nested too deeply");
    return {200,
            R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"nested too deeply"}})"};
}

} // namespace persimmon::transport
