#include "dispatch/attempt_conversion.h"

namespace persimmon::dispatch {

namespace {

state::AttemptEnd convertRefusal(protocol::UpstreamRefusal reason)
{
    switch (reason) {
    case protocol::UpstreamRefusal::SnapshotMissing:
        return state::AttemptEnd::SnapshotMissing;
    case protocol::UpstreamRefusal::Draining:
        return state::AttemptEnd::Draining;
    case protocol::UpstreamRefusal::BadRequest:
        return state::AttemptEnd::BadRequest;
    case protocol::UpstreamRefusal::Shed:
        break;
    }
    return state::AttemptEnd::Shed;
}

state::AttemptEnd convertError(const DispatchError &error)
{
    switch (error.code) {
    case DispatchErrorCode::Timeout:
        return state::AttemptEnd::TimedOut;
    case DispatchErrorCode::Cancelled:
        return state::AttemptEnd::Cancelled;
    case DispatchErrorCode::MalformedReply:
    case DispatchErrorCode::MismatchedAnswer:
        return state::AttemptEnd::Dropped;
    default:
        return error.written ? state::AttemptEnd::Lost : state::AttemptEnd::NotWritten;
    }
}

} // namespace

state::AttemptResult toAttemptResult(UpstreamClient::ExecuteResult result)
{
    if (!isOk(result)) {
        const auto &error = errorOf(result);
        return {convertError(error), {}, {}, error.written};
    }
    auto reply = takeValue(result);
    if (const auto *refusal = std::get_if<protocol::ExecuteRefusal>(&reply))
        return {convertRefusal(refusal->reason), refusal->incarnation, {}, true};
    auto &answer = std::get<protocol::ExecuteSuccess>(reply);
    return {state::AttemptEnd::Answered, answer.incarnation, std::move(answer.items), true};
}

} // namespace persimmon::dispatch
