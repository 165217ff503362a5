#include "transport/request_framing.h"

#include <boost/beast/core/string.hpp>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace persimmon::transport {

std::optional<int> framingErrorStatus(const http::request_header<> &header)
{
    constexpr int BadRequest = 400;
    constexpr int NotImplemented = 501;
    constexpr unsigned Version11 = 11;
    constexpr beast::string_view Chunked = "chunked";
    const auto fields = header.count(http::field::transfer_encoding);
    if (fields == 0)
        return std::nullopt;
    const bool hasLength = header.count(http::field::content_length) > 0;
    if (header.version() < Version11 || hasLength || fields > 1)
        return BadRequest;
    const auto codings = header[http::field::transfer_encoding];
    if (beast::iequals(codings, Chunked))
        return std::nullopt;
    // With chunked as the last coding, the end can be told, but the body stays encoded.
    const bool endsChunked =
            codings.size() > Chunked.size()
            && beast::iequals(codings.substr(codings.size() - Chunked.size()), Chunked);
    return endsChunked ? NotImplemented : BadRequest;
}

} // namespace persimmon::transport
