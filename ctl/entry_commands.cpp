#include "ctl/entry_commands.h"

#include "ctl/report_format.h"
#include "ctl/run_coroutine.h"
#include "protocol/caller_codec.h"

#include <boost/url.hpp>

namespace persimmon::ctl {

namespace {

constexpr int HttpOk = 200;

using FetchResult = transport::TransportResult<transport::HttpResponse>;

FetchResult fetch(const transport::Endpoint &entry, transport::HttpRequest request,
                  transport::Duration timeout)
{
    return runCoroutine<FetchResult>([&](transport::Runtime &runtime) {
        return transport::fetchOnce(runtime, entry, std::move(request), timeout);
    });
}

/// Formats a response body.
/// @param body body that a codec has decoded, so that it is valid JSON.
CommandResult makeBodyResult(const std::string &body, bool succeeded, bool asJson)
{
    return {succeeded ? ExitStatus::Success : ExitStatus::Failed,
            formatReport(boost::json::parse(body), asJson), ""};
}

CommandResult makeInvalidResponseFailure(int status, const protocol::ProtocolError &error)
{
    return makeFailure("the response of the entry (HTTP status " + std::to_string(status)
                       + ") is invalid: " + error.message);
}

} // namespace

CommandResult locate(const transport::Endpoint &entry, const std::string &caller,
                     const std::string &profile, transport::Duration timeout, bool asJson)
{
    boost::urls::url target("/v1/locate");
    target.params().append({"caller", caller});
    if (!profile.empty())
        target.params().append({"profile", profile});
    const auto response = fetch(entry, {"GET", std::string(target.buffer()), ""}, timeout);
    if (!isOk(response))
        return makeFailure("the request to the entry failed: " + errorOf(response).message);
    const auto &[status, body, type, fields] = valueOf(response);
    if (status == HttpOk) {
        const auto answer = protocol::decodeLocateResponse(body);
        return isOk(answer) ? makeBodyResult(body, true, asJson)
                            : makeInvalidResponseFailure(status, errorOf(answer));
    }
    const auto refusal = protocol::decodeQueryResponse(body);
    return isOk(refusal) ? makeBodyResult(body, false, asJson)
                         : makeInvalidResponseFailure(status, errorOf(refusal));
}

CommandResult runQuery(const transport::Endpoint &entry, const protocol::QueryRequest &request,
                       transport::Duration timeout, bool asJson)
{
    const auto response =
            fetch(entry, {"POST", "/v1/query", protocol::encodeQueryRequest(request)}, timeout);
    if (!isOk(response)) {
        const auto &error = errorOf(response);
        return makeFailure(
                "the request to the entry failed: " + error.message
                + (error.written ? "; the query may have run" : "; the query did not run"));
    }
    const auto &[status, body, type, fields] = valueOf(response);
    const auto answer = protocol::decodeQueryResponse(body);
    if (!isOk(answer))
        return makeInvalidResponseFailure(status, errorOf(answer));
    return makeBodyResult(body, valueOf(answer).outcome == protocol::Outcome::Done, asJson);
}

} // namespace persimmon::ctl
