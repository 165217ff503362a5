#include "ctl/entry_commands.h"

#include "ctl/run_task.h"
#include "ctl/text_report.h"
#include "protocol/caller_codec.h"

#include <boost/url.hpp>

namespace persimmon::ctl {

namespace {

constexpr int StatusOk = 200;

using FetchResult = transport::TransportResult<transport::HttpResponse>;

FetchResult fetch(const transport::Endpoint &entry, transport::HttpRequest request,
                  transport::Duration timeout)
{
    return runTask<FetchResult>([&](transport::Runtime &runtime) {
        return transport::fetchOnce(runtime, entry, std::move(request), timeout);
    });
}

/// Reports a body that a codec accepted and that is thus known to be valid JSON.
CommandResult reportBody(const std::string &body, bool succeeded, bool asJson)
{
    return {succeeded ? ExitStatus::Success : ExitStatus::Failed,
            report(boost::json::parse(body), asJson), ""};
}

CommandResult makeInvalidAnswer(int status, const protocol::ProtocolError &error)
{
    return makeFailure("the entry's answer (HTTP status " + std::to_string(status)
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
        return makeFailure("the entry did not answer: " + errorOf(response).message);
    const auto &[status, body, type] = valueOf(response);
    if (status == StatusOk) {
        const auto answer = protocol::decodeLocateAnswer(body);
        return isOk(answer) ? reportBody(body, true, asJson)
                            : makeInvalidAnswer(status, errorOf(answer));
    }
    const auto refusal = protocol::decodeQueryAnswer(body);
    return isOk(refusal) ? reportBody(body, false, asJson)
                         : makeInvalidAnswer(status, errorOf(refusal));
}

CommandResult runQuery(const transport::Endpoint &entry, const protocol::QueryRequest &request,
                       transport::Duration timeout, bool asJson)
{
    const auto response =
            fetch(entry, {"POST", "/v1/query", protocol::encodeQueryRequest(request)}, timeout);
    if (!isOk(response)) {
        const auto &error = errorOf(response);
        return makeFailure("the entry did not answer: " + error.message
                           + (error.written ? "; the query may have run" : "; nothing ran"));
    }
    const auto &[status, body, type] = valueOf(response);
    const auto answer = protocol::decodeQueryAnswer(body);
    if (!isOk(answer))
        return makeInvalidAnswer(status, errorOf(answer));
    return reportBody(body, valueOf(answer).outcome == protocol::Outcome::Done, asJson);
}

} // namespace persimmon::ctl
