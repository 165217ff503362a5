#include "forward/upstream_response.h"

#include "forward/response_status.h"

namespace http = boost::beast::http;

namespace persimmon::forward {

namespace {

/// @return whether the received body is not the upstream's own, but an encoding of it.
bool hasEncodedBody(const UpstreamResponse &response)
{
    const auto transfer = response[http::field::transfer_encoding];
    return response.count(http::field::content_encoding) > 0
           || (!transfer.empty() && !boost::beast::iequals(transfer, "chunked"));
}

state::AttemptEnd classifyRefusal(int status)
{
    return status == static_cast<int>(http::status::bad_request) ? state::AttemptEnd::BadRequest
                                                                 : state::AttemptEnd::Shed;
}

} // namespace

state::AttemptResult classifyResponse(UpstreamResponse response, const HeaderNames &names,
                                      const std::string &requestId)
{
    state::AttemptResult result;
    result.end = state::AttemptEnd::Dropped;
    const auto echoed = response[names.requestId];
    if (!echoed.empty() && std::string_view(echoed.data(), echoed.size()) != requestId)
        return result;
    const auto status = static_cast<int>(response.result_int());
    if (status == MisdirectedRequestStatus) {
        result.end = state::AttemptEnd::Replaced;
        return result;
    }
    auto answer = std::make_shared<protocol::ForwardedResponse>();
    answer->status = status;
    answer->headers = endToEndFields(response);
    answer->signature = std::string(response[names.signature]);
    answer->body = std::move(response.body());
    result.answer = answer;
    if (response.count(names.notExecuted) > 0) {
        result.end = classifyRefusal(status);
    } else if (response.result() == http::status::ok || status / 100 == 2) {
        if (!answer->signature.empty() && !hasEncodedBody(response))
            result.end = state::AttemptEnd::Answered;
    } else if (status >= 500 || statesNotExecuted(status)) {
        result.end = state::AttemptEnd::Failed;
    } else {
        result.end = state::AttemptEnd::ErrorAnswer;
    }
    return result;
}

} // namespace persimmon::forward
