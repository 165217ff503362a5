#include "ctl/admin_commands.h"

#include "ctl/report_format.h"
#include "ctl/run_coroutine.h"
#include "transport/rpc_client.h"

#include <json/writer.h>

namespace asio = boost::asio;

namespace persimmon::ctl {

namespace {

using CallResult = transport::TransportResult<Json::Value>;

asio::awaitable<CallResult> callOnce(transport::Endpoint admin, std::string method,
                                     transport::Duration timeout)
{
    transport::RpcClient client(co_await asio::this_coro::executor, admin);
    co_return co_await client.call(method, Json::Value(Json::objectValue), timeout);
}

/// Converts a JsonCpp value of the RPC client to Boost.JSON, which formatReport() uses.
boost::json::value toBoostJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    boost::json::error_code failure;
    return boost::json::parse(Json::writeString(builder, value), failure);
}

} // namespace

CommandResult callAdmin(const transport::Endpoint &admin, const std::string &method,
                        transport::Duration timeout, bool asJson)
{
    const auto result = runCoroutine<CallResult>(
            [&](transport::Runtime &) { return callOnce(admin, method, timeout); });
    if (!isOk(result))
        return makeFailure("the admin call " + method + " failed: " + errorOf(result).message);
    return {ExitStatus::Success, formatReport(toBoostJson(valueOf(result)), asJson), ""};
}

} // namespace persimmon::ctl
