#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmon::transport {

/// HTTP/1.1 request of a server handler or a client.
///
/// The constructor keeps the type from being an aggregate: GCC 12 destroys an aggregate temporary
/// twice when it is brace-initialized inside a co_await expression.
struct HttpRequest
{
    HttpRequest() = default;
    HttpRequest(std::string requestMethod, std::string requestTarget, std::string requestBody = {})
        : method(std::move(requestMethod)),
          target(std::move(requestTarget)),
          body(std::move(requestBody))
    {
    }

    std::string method = "GET";
    /// Path and query string.
    std::string target = "/";
    std::string body;
    /// Header fields of the response that a client returns.
    std::vector<std::string> responseFields;
};

/// Header field of a message.
struct HttpField
{
    std::string name;
    std::string value;
};

/// HTTP/1.1 response of a server handler or a client.
struct HttpResponse
{
    HttpResponse() = default;
    HttpResponse(int responseStatus, std::string responseBody,
                 std::string type = "application/json")
        : status(responseStatus),
          body(std::move(responseBody)),
          contentType(std::move(type))
    {
    }

    /// @return the value of a header field in @c fields; empty if it is missing.
    std::string_view field(std::string_view name) const
    {
        for (const auto &candidate : fields) {
            if (candidate.name == name)
                return candidate.value;
        }
        return {};
    }

    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    /// Further header fields. A client keeps only those that its request names.
    std::vector<HttpField> fields;
};

/// Size of the read buffer of a connection. Bodies are moved out of it while they arrive, so that
/// it bounds headers and framing, also if they never end.
inline constexpr std::size_t MaxBufferedBytes = 128U * 1024U;

/// Default maximum size of a message body for servers and clients, in bytes.
inline constexpr std::size_t DefaultMaxBodyBytes = 32U * 1024U * 1024U;

} // namespace persimmon::transport
