#pragma once

#include <string>
#include <vector>

namespace persimmon::protocol {

/// One header field of an HTTP message.
struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// Complete and validated response of an upstream to a forwarded request.
struct ForwardedResponse
{
    int status = 200;
    /// End-to-end header fields without Content-Length, in the order sent by the upstream.
    std::vector<HeaderField> headers;
    std::string body;
    /// Signature that the upstream attached to this response.
    std::string signature;

    bool operator==(const ForwardedResponse &) const = default;
};

} // namespace persimmon::protocol
