#pragma once

#include "forward/header_names.h"
#include "forward/upstream_response.h"

namespace persimmon::forward {

/// Detects a head that begins with a response that was broken off, followed by the head of another
/// one: parsed as one, it has the status of the first and fields of both.
/// @return whether the head contains a second status line, or a field twice that identifies the
///         response.
bool containsSecondHead(const boost::beast::http::response_header<> &head,
                        const HeaderNames &names);

} // namespace persimmon::forward
