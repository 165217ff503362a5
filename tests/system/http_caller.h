#pragma once

#include "transport/transport.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace persimmon::tests {

/// Blocking HTTP calls for tests.
class HttpCaller
{
public:
    HttpCaller();

    /// @return the response, or nothing when the connection failed or the time was over.
    std::optional<transport::HttpResponse>
    send(const std::string &address, const std::string &method, const std::string &target,
         const std::string &body = "",
         std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Sends a request and reads the body as JSON.
    /// @return null when there was no response or no JSON.
    boost::json::value json(const std::string &address, const std::string &method,
                            const std::string &target, const boost::json::value &body = nullptr);

private:
    transport::Runtime runtime_;
};

} // namespace persimmon::tests
