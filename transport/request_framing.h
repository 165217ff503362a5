#pragma once

#include <boost/beast/http/message.hpp>

#include <optional>

namespace persimmon::transport {

/// Checks whether the end of a request's body can be told. Where it can't, bytes of the body would
/// be read as the next request of the connection.
/// @return the status of the rejection, after which the connection must be closed; std::nullopt if
///         the body has a length, is chunked without another coding, or is absent.
/// @see RFC 9112, section 6.
std::optional<int> framingErrorStatus(const boost::beast::http::request_header<> &header);

} // namespace persimmon::transport
