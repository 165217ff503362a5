#pragma once

#include "tests/support/raw_http.h"

#include <string>
#include <vector>

namespace persimmon::tests {

/// Bytes that are sent again and again, after a start that makes them part of a message.
struct EndlessResponse
{
    std::string description;
    std::string start;
    /// Empty if the upstream falls silent after the start.
    std::string repeated;

    RawResponse toRawResponse() const
    {
        RawResponse response{start};
        response.endless = repeated;
        return response;
    }
};

/// @param fields fields of the heads, with their line ends.
std::vector<EndlessResponse> endlessResponses(const std::string &fields);

/// @return a response that stops short of @p length bytes of its body.
EndlessResponse unfinishedResponse(const std::string &fields, std::size_t length);

} // namespace persimmon::tests
