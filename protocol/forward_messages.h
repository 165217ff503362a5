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

/// Answer of an upstream to a forwarded request, complete and checked.
struct ForwardedResponse
{
    int status = 200;
    /// End-to-end fields without Content-Length, in the order of the upstream.
    std::vector<HeaderField> headers;
    std::string body;
    /// What the upstream signed this answer with.
    std::string signature;

    bool operator==(const ForwardedResponse &) const = default;
};

} // namespace persimmon::protocol
