#pragma once

#include <cstddef>
#include <string>

namespace persimmon::transport {

/// An HTTP/1.1 request as handlers and clients see it.
struct HttpRequest
{
    std::string method = "GET";
    /// Path and query string.
    std::string target = "/";
    std::string body;
};

/// An HTTP/1.1 response as handlers and clients see it.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// Largest body that servers and clients accept unless told otherwise, in bytes.
inline constexpr std::size_t DefaultBodyLimit = 32U * 1024U * 1024U;

} // namespace persimmon::transport
