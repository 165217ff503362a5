#pragma once

#include "forward/header_names.h"
#include "protocol/forward_messages.h"
#include "transport/transport.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <optional>
#include <string>

namespace persimmon::forward {

using HttpMessage = boost::beast::http::request<boost::beast::http::string_body>;

/// A caller's request in the form in which it goes to every upstream.
struct ForwardRequest
{
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// Request line and end-to-end header fields; the fields of one attempt follow.
    std::string head;
    std::string body;
    /// How long the caller waits, if it says so.
    std::optional<std::chrono::milliseconds> callerTime;
    transport::TimePoint receivedAt;

    /// @return the bytes of one attempt.
    /// @param instance id of the upstream that is to execute it.
    /// @param timeLeft time that the upstream has.
    std::string serialize(const HeaderNames &names, const std::string &instance,
                          std::chrono::milliseconds timeLeft) const;
};

/// @return whether a field concerns only one connection and is not forwarded.
/// @param connection value of the Connection field of the same message.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Takes a parsed request. Fields of one connection and those that this tier sets are left out.
ForwardRequest makeForwardRequest(const HttpMessage &message, const HeaderNames &names,
                                  transport::TimePoint receivedAt);

/// @return the end-to-end fields of a response, without Content-Length.
std::vector<protocol::HeaderField> endToEndFields(const boost::beast::http::fields &fields);

/// What happens to the caller while its request is served.
struct CallerWatch
{
    bool gone = false;
    /// Called once when the caller closes its connection.
    std::function<void()> onGone = [] {};
};

/// Answer to a caller.
struct FrontAnswer
{
    int status = 200;
    std::vector<protocol::HeaderField> headers;
    std::string body;
};

} // namespace persimmon::forward
