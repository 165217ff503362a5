#pragma once

#include "forward/header_names.h"
#include "protocol/forward_messages.h"
#include "transport/transport.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace persimmon::forward {

using HttpMessage = boost::beast::http::request<boost::beast::http::string_body>;

/// Who sends the requests that a server receives.
enum class RequestSource {
    Caller,
    /// Another host of the system, in place of a caller.
    Peer,
};

/// What a host that passes a request on to another one tells of it.
struct PassedOn
{
    /// Time since the passing host received the request.
    std::chrono::milliseconds age{0};
    /// Version of the configuration that the passing host applied.
    std::uint64_t configVersion = 0;
};

/// A caller's request, prepared for forwarding to upstreams.
struct ForwardRequest
{
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// Request line and end-to-end header fields, without the fields that differ between attempts.
    std::string head;
    std::string body;
    /// The same for all requests with this method, host, target and body, on every host.
    std::uint64_t fingerprint = 0;
    /// How long the caller waits for the response, if stated in the request.
    std::optional<std::chrono::milliseconds> callerTimeout;
    transport::TimePoint receivedAt;
    /// Set if another host received the request and passed it on. It is not passed on again.
    std::optional<PassedOn> passedOn;

    /// Serializes the request for one attempt.
    /// @param instance id of the upstream that must execute the request.
    /// @param timeLeft time until the deadline of the upstream.
    std::string serialize(const HeaderNames &names, const std::string &instance,
                          std::chrono::milliseconds timeLeft) const;

    /// Serializes the request for another host.
    std::string serializeForPeer(const HeaderNames &names, const PassedOn &passing) const;

private:
    /// Ends a serialized header and adds the body.
    void appendBody(std::string &text) const;
};

/// @return whether a header field is hop-by-hop and must not be forwarded.
/// @param connection value of the Connection field of the same message.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Converts a parsed request. Omits hop-by-hop fields and fields that this tier sets itself.
/// @param arrivedAt when it arrived at this host.
ForwardRequest makeForwardRequest(const HttpMessage &message, const HeaderNames &names,
                                  transport::TimePoint arrivedAt,
                                  RequestSource source = RequestSource::Caller);

/// @return the end-to-end header fields of a response, without Content-Length.
std::vector<protocol::HeaderField> endToEndFields(const boost::beast::http::fields &fields);

/// Reports whether a caller disconnects while its request is served.
struct CallerMonitor
{
    bool disconnected = false;
    /// Called once when the caller closes its connection.
    std::function<void()> onDisconnect = [] {};
};

/// HTTP response to a caller.
struct CallerResponse
{
    int status = 200;
    std::vector<protocol::HeaderField> headers;
    std::string body;
};

} // namespace persimmon::forward
