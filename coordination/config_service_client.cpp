#include "coordination/config_service_client.h"

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace persimmon::coordination {

namespace {

/// The service replies within milliseconds; after this time it is considered down.
constexpr auto ResponseTimeout = 1s;

constexpr const char *Part = "config";
constexpr int StatusOk = 200;
/// Rows of one response that are named in the log.
constexpr std::size_t MaxLoggedRows = 5;

void logInvalidRows(const std::string &path, const std::vector<protocol::ProtocolError> &rows)
{
    for (std::size_t i = 0; i < rows.size() && i < MaxLoggedRows; ++i) {
        transport::logWarning(Part, "left out an invalid row of the configuration service",
                              {{"path", path},
                               {"reason", rows[i].message},
                               {"rows", std::to_string(rows.size())}});
    }
}

CoordinationError rejectResponse(const std::string &path, const protocol::ProtocolError &error)
{
    transport::logWarning(Part, "rejected a response of the configuration service",
                          {{"path", path}, {"reason", error.message}});
    return toCoordinationError(error);
}

/// @return whether the address of a host can be connected to.
bool hasUsableAddress(const protocol::HostRecord &host)
{
    // An entry host has one address for several ports.
    const bool hasPort = host.kind == protocol::HostKind::Upstream;
    return isOk(transport::parseEndpoint(hasPort ? host.address : host.address + ":1"));
}

void removeUnusableHosts(protocol::HostsResponse &response)
{
    std::erase_if(*response.hosts, [&response](const auto &host) {
        const bool usable = hasUsableAddress(host);
        if (!usable) {
            response.invalidRows.push_back(
                    {protocol::ProtocolErrorCode::InvalidValue,
                     host.name + ": '" + host.address + "' is not a usable address"});
        }
        return !usable;
    });
}

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
    if (!connection_ || !connection_->isReusable()) {
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
        co_return rejectResponse(path, errorOf(reply));
    logInvalidRows(path, valueOf(reply).invalidRows);
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
        co_return rejectResponse(path, errorOf(reply));
    auto hosts = takeValue(reply);
    if (hosts.hosts)
        removeUnusableHosts(hosts);
    logInvalidRows(path, hosts.invalidRows);
    co_return hosts;
}

} // namespace persimmon::coordination
