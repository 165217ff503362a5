#include "tests/system/http_client.h"

#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

namespace asio = boost::asio;
namespace json = boost::json;

namespace persimmon::tests {

namespace {

constexpr int ThreadCount = 4;

} // namespace

HttpClient::HttpClient() : runtime_(ThreadCount)
{
    runtime_.start();
}

std::optional<transport::HttpResponse>
HttpClient::send(const std::string &address, const std::string &method, const std::string &target,
                 const std::string &body, std::chrono::milliseconds timeout)
{
    const auto endpoint = transport::parseEndpoint(address);
    if (!isOk(endpoint))
        return std::nullopt;
    auto task = transport::fetchOnce(runtime_, valueOf(endpoint), {method, target, body}, timeout);
    auto result = asio::co_spawn(runtime_.makeStrand(), std::move(task), asio::use_future).get();
    if (!isOk(result))
        return std::nullopt;
    return takeValue(result);
}

json::value HttpClient::json(const std::string &address, const std::string &method,
                             const std::string &target, const json::value &body)
{
    const auto response =
            send(address, method, target, body.is_null() ? "" : json::serialize(body));
    if (!response)
        return nullptr;
    boost::system::error_code error;
    auto value = json::parse(response->body, error);
    return error ? json::value(nullptr) : value;
}

} // namespace persimmon::tests
