#pragma once

#include "core/enum_names.h"
#include "transport/transport.h"

#include <array>
#include <cstdint>
#include <vector>

namespace persimmon::forward {

/// What is wrong with the bytes that an upstream sent in place of, or beside, one response.
enum class ResponseFault : std::uint8_t {
    /// A whole response to another request.
    OtherRequest,
    /// Bytes that begin no response.
    NoResponse,
    /// A response with a status that is not valid, or that answers no request of this tier.
    InvalidStatus,
    /// A head that contains another one.
    SecondHead,
    /// A body that holds the beginning of another response.
    FilledBody,
    /// Bytes after a complete response that begin another one.
    ResponseBehind,
    /// Other bytes after a complete response.
    BytesBehind,
};

inline constexpr std::array<EnumName<ResponseFault>, 7> ResponseFaultNames{{
        {ResponseFault::OtherRequest, "other_request"},
        {ResponseFault::NoResponse, "no_response"},
        {ResponseFault::InvalidStatus, "invalid_status"},
        {ResponseFault::SecondHead, "second_head"},
        {ResponseFault::FilledBody, "filled_body"},
        {ResponseFault::ResponseBehind, "response_behind"},
        {ResponseFault::BytesBehind, "bytes_behind"},
}};

/// Logs and counts the faults of responses, by kind.
class ResponseFaultReporter
{
public:
    explicit ResponseFaultReporter(transport::Metrics &metrics);

    /// @param connection number of the connection, which the line of the failed attempt names too.
    /// @param fields what else describes the fault.
    void report(ResponseFault fault, std::uint64_t connection,
                std::vector<transport::LogField> fields);

private:
    std::array<transport::Counter *, ResponseFaultNames.size()> counters_{};
};

} // namespace persimmon::forward
