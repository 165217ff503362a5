#pragma once

#include "transport/transport.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace persimmon::tests {

/// Blocking HTTP client for tests.
class HttpClient
{
public:
    HttpClient();

    /// @return the response, or std::nullopt if the connection failed or @p timeout has passed.
    std::optional<transport::HttpResponse>
    send(const std::string &address, const std::string &method, const std::string &target,
         const std::string &body = "",
         std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Sends a request and parses the body of the response as JSON.
    /// @return the parsed body; null without a response or if the body is not valid JSON.
    boost::json::value json(const std::string &address, const std::string &method,
                            const std::string &target, const boost::json::value &body = nullptr);

private:
    transport::Runtime runtime_;
};

} // namespace persimmon::tests
