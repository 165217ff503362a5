#pragma once

#include <boost/beast/http/error.hpp>

namespace persimmon::forward {

/// @return whether @p error reports a malformed message. Returns false if the connection was closed
///         or failed.
inline bool isParseError(const boost::beast::error_code &error)
{
    namespace http = boost::beast::http;
    const boost::beast::error_code ended(http::error::end_of_stream);
    return error.category() == ended.category() && error != ended
           && error != http::error::partial_message;
}

} // namespace persimmon::forward
