#include "coordination/daemon_settings.h"

#include "protocol/default_ports.h"

#include <boost/asio/ip/address.hpp>

#include <random>

namespace persimmon::coordination {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxThreads = 256;
constexpr std::int64_t DefaultThreads = 2;

std::optional<std::string> checkAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return error ? std::optional<std::string>("an IP address such as 127.0.1.1") : std::nullopt;
}

} // namespace

void addDaemonSettings(transport::Settings &settings, std::uint16_t port)
{
    settings.addText("host", "name of this host in the host list", "");
    settings.require("host");
    settings.addText("address", "IP address of this host", "127.0.0.1", checkAddress);
    settings.addInteger("port", "port to listen on", port, 1, MaxPort);
    settings.addText("failure-domain", "failure domain of this host", "");
    settings.require("failure-domain");
    settings.addEndpoint("service", "endpoint of the configuration service", "127.0.0.1:7000");
    settings.addEndpoint("admin", "endpoint of the admin and metrics server; disabled if empty",
                         "");
    settings.addLogging();
}

void addViewSettings(transport::Settings &settings)
{
    settings.addEndpoint("agent", "endpoint of the agent on this host",
                         "127.0.0.1:" + std::to_string(protocol::AgentPort));
    settings.addInteger("threads", "number of threads that run request handlers", DefaultThreads, 1,
                        MaxThreads);
}

transport::Endpoint daemonEndpoint(const transport::Settings &settings)
{
    return {boost::asio::ip::make_address(settings.text("address")),
            static_cast<std::uint16_t>(settings.integer("port"))};
}

ViewClientOptions viewClientOptions(const transport::Settings &settings)
{
    ViewClientOptions options;
    options.host = settings.text("host");
    options.agent = settings.endpoint("agent");
    options.service = settings.endpoint("service");
    return options;
}

std::uint64_t makeIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

bool logListenResult(std::string_view part,
                     const transport::TransportResult<transport::Endpoint> &bound)
{
    if (!isOk(bound)) {
        transport::logError(part, errorOf(bound).message);
        return false;
    }
    transport::logInfo(part, "Listening.",
                       {{"address", transport::formatEndpoint(valueOf(bound))}});
    return true;
}

} // namespace persimmon::coordination
