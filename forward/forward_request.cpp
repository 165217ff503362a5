#include "forward/forward_request.h"

#include "forward/peer_fields.h"
#include "state/fingerprint.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace persimmon::forward {

namespace {

/// Longer than the timeout of any route.
constexpr std::chrono::milliseconds MaxCallerTimeout = std::chrono::hours(24 * 365);
constexpr std::array<std::string_view, 10> HopByHopFields{
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "proxy-authorization",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
};

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

/// @return the time, at most MaxCallerTimeout, or std::nullopt if the text is no number of
///         milliseconds.
std::optional<std::chrono::milliseconds> parseTimeout(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    const bool isTooLarge = error == std::errc::result_out_of_range && !text.starts_with('-');
    if (isTooLarge)
        count = MaxCallerTimeout.count();
    else if (error != std::errc() || count < 0)
        return std::nullopt;
    if (end != text.data() + text.size())
        return std::nullopt;
    return std::min(std::chrono::milliseconds(count), MaxCallerTimeout);
}

std::string_view toStringView(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view fieldOf(const HttpMessage &message, std::string_view name)
{
    return toStringView(message[beast::string_view(name.data(), name.size())]);
}

/// @return whether the field is one that this tier sets itself for each attempt.
bool isOwnField(std::string_view name, const HeaderNames &names)
{
    return equalsIgnoreCase(name, "content-length") || equalsIgnoreCase(name, names.timeLeft)
           || equalsIgnoreCase(name, names.expectedInstance) || equalsIgnoreCase(name, PeerAgeField)
           || equalsIgnoreCase(name, PeerConfigField);
}

PassedOn readPassedOn(const HttpMessage &message)
{
    PassedOn passedOn;
    passedOn.age = parseTimeout(fieldOf(message, PeerAgeField)).value_or(passedOn.age);
    const auto version = fieldOf(message, PeerConfigField);
    std::from_chars(version.data(), version.data() + version.size(), passedOn.configVersion);
    return passedOn;
}

} // namespace

bool isHopByHop(std::string_view name, std::string_view connection)
{
    for (const auto field : HopByHopFields) {
        if (equalsIgnoreCase(name, field))
            return true;
    }
    if (connection.empty())
        return false;
    http::token_list tokens(beast::string_view(connection.data(), connection.size()));
    return tokens.exists(beast::string_view(name.data(), name.size()));
}

std::string ForwardRequest::serialize(const HeaderNames &names, const std::string &instance,
                                      std::chrono::milliseconds timeLeft) const
{
    std::string text;
    text.reserve(head.size() + body.size() + 160);
    text.append(head);
    text.append(names.timeLeft).append(": ").append(std::to_string(timeLeft.count()));
    text.append("\r\n").append(names.expectedInstance).append(": ").append(instance);
    appendBody(text.append("\r\n"));
    return text;
}

std::string ForwardRequest::serializeForPeer(const HeaderNames &names,
                                             const PassedOn &passing) const
{
    std::string text = head;
    if (callerTimeout)
        text.append(names.timeLeft).append(": ").append(std::to_string(callerTimeout->count()));
    text.append(callerTimeout ? "\r\n" : "").append(PeerAgeField).append(": ");
    text.append(std::to_string(passing.age.count())).append("\r\n");
    text.append(PeerConfigField).append(": ").append(std::to_string(passing.configVersion));
    appendBody(text.append("\r\n"));
    return text;
}

void ForwardRequest::appendBody(std::string &text) const
{
    if (!body.empty() || method == "POST" || method == "PUT" || method == "PATCH")
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append("\r\n").append(body);
}

ForwardRequest makeForwardRequest(const HttpMessage &message, const HeaderNames &names,
                                  transport::TimePoint arrivedAt, RequestSource source)
{
    ForwardRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.id = std::string(message[names.requestId]);
    request.body = message.body();
    request.fingerprint =
            state::requestFingerprint(request.method, request.host, request.target, request.body);
    if (source == RequestSource::Peer)
        request.passedOn = readPassedOn(message);
    request.receivedAt =
            arrivedAt - (request.passedOn ? request.passedOn->age : std::chrono::milliseconds(0));
    request.callerTimeout = parseTimeout(toStringView(message[names.timeLeft]));
    request.head = request.method + " " + request.target + " HTTP/1.1\r\n";
    const auto connection = toStringView(message[http::field::connection]);
    for (const auto &field : message) {
        const auto name = toStringView(field.name_string());
        if (isHopByHop(name, connection) || isOwnField(name, names))
            continue;
        request.head.append(name).append(": ").append(toStringView(field.value())).append("\r\n");
    }
    return request;
}

std::vector<protocol::HeaderField> endToEndFields(const http::fields &fields)
{
    std::vector<protocol::HeaderField> result;
    const auto connection = toStringView(fields[http::field::connection]);
    for (const auto &field : fields) {
        const auto name = toStringView(field.name_string());
        if (isHopByHop(name, connection) || equalsIgnoreCase(name, "content-length"))
            continue;
        result.push_back({std::string(name), std::string(toStringView(field.value()))});
    }
    return result;
}

} // namespace persimmon::forward
