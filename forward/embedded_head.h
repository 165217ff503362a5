#pragma once

#include "forward/header_names.h"

#include <cstddef>
#include <string_view>

namespace persimmon::forward {

/// What the bytes of a complete body say about the head of another response in it.
struct EmbeddedHead
{
    /// Whether a head begins within the body that identifies itself as a response to a request, or
    /// that reaches beyond the body.
    bool found = false;
    /// Number of bytes at the end of the body that may be the beginning of such a head, if the
    /// received bytes end there; else 0.
    std::size_t unfinishedBytes = 0;
};

/// Looks for the head of another response that begins within a body. A body that breaks off on an
/// open connection is filled up to its length with the next response.
/// @param body the complete body of a response.
/// @param following the bytes that were received after it.
/// @param names the fields of @p names for request id, signature and "not executed" identify a
///        response.
EmbeddedHead findEmbeddedHead(std::string_view body, std::string_view following,
                              const HeaderNames &names);

} // namespace persimmon::forward
