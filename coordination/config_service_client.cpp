#include "coordination/config_service_client.h"

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace persimmon::coordination {

namespace {

/// The service replies within milliseconds; after this time it is considered down.
constexpr auto ResponseTimeout = 1s;

constexpr int StatusOk = 200;

} // namespace

ConfigServiceClient::ConfigServiceClient(asio::any_io_executor executor,
                                         transport::Endpoint service)
    : executor_(std::move(executor)),
      service_(std::move(service))
{
}

ConfigServiceClient::~ConfigServiceClient()
{
    if (connection_)
        connection_->close();
}

asio::awaitable<CoordinationResult<std::string>>
ConfigServiceClient::fetch(std::string path, protocol::HistoryPosition since,
                           std::chrono::milliseconds wait)
{
    if (!connection_ || !connection_->isOpen()) {
        connection_ = std::make_shared<transport::HttpConnection>(executor_);
        const auto connected = co_await connection_->connect(service_, ResponseTimeout);
        if (!isOk(connected))
            co_return toCoordinationError(errorOf(connected));
    }
    transport::HttpRequest request;
    request.target = path + "?since=" + std::to_string(since.revision)
                     + "&wait_ms=" + std::to_string(wait.count());
    if (since.era > 0)
        request.target += "&era=" + std::to_string(since.era);
    const auto connection = connection_;
    const transport::Duration timeout = wait + ResponseTimeout;
    auto response = co_await connection->send(request, timeout);
    if (!isOk(response))
        co_return toCoordinationError(errorOf(response));
    auto reply = takeValue(response);
    if (reply.status != StatusOk) {
        co_return CoordinationError{CoordinationErrorCode::InvalidAnswer,
                                    "the configuration service responded with HTTP status "
                                            + std::to_string(reply.status)};
    }
    co_return std::move(reply.body);
}

asio::awaitable<CoordinationResult<protocol::ConfigResponse>>
ConfigServiceClient::readConfig(protocol::HistoryPosition since, std::chrono::milliseconds wait)
{
    const std::string path = "/v1/config";
    const auto body = co_await fetch(path, since, wait);
    if (!isOk(body))
        co_return errorOf(body);
    auto reply = protocol::decodeConfigResponse(valueOf(body));
    if (!isOk(reply))
        co_return toCoordinationError(errorOf(reply));
    co_return takeValue(reply);
}

asio::awaitable<CoordinationResult<protocol::HostsResponse>>
ConfigServiceClient::readHosts(protocol::HistoryPosition since, std::chrono::milliseconds wait)
{
    const std::string path = "/v1/hosts";
    const auto body = co_await fetch(path, since, wait);
    if (!isOk(body))
        co_return errorOf(body);
    auto reply = protocol::decodeHostsResponse(valueOf(body));
    if (!isOk(reply))
        co_return toCoordinationError(errorOf(reply));
    co_return takeValue(reply);
}

} // namespace persimmon::coordination
