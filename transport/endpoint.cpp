#include "transport/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace persimmon::transport {

namespace {

TransportError makeInvalidError(std::string_view text)
{
    return {TransportErrorCode::AddressInvalid,
            "'" + std::string(text) + "' is not a valid IP address and port"};
}

} // namespace

TransportResult<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeInvalidError(text);
    const auto portText = text.substr(colon + 1);
    unsigned short port = 0;
    const auto *end = portText.data() + portText.size();
    const auto [parsed, failure] = std::from_chars(portText.data(), end, port);
    if (failure != std::errc() || parsed != end)
        return makeInvalidError(text);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error)
        return makeInvalidError(text);
    return Endpoint(address, port);
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace persimmon::transport
