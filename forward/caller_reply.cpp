#include "forward/caller_reply.h"

#include "forward/response_status.h"
#include "state/top_records.h"

#include <algorithm>
#include <random>

namespace persimmon::forward {

namespace {

/// @return a random factor for the Retry-After value, so that refused callers do not retry at the
///         same time.
double randomJitter()
{
    static std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<double>(1.0, 1.6)(random);
}

std::string formatSeconds(transport::Duration wait)
{
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    const auto fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
    return std::to_string(milliseconds / 1000) + "." + fraction;
}

} // namespace

/// @return the first few shards without a result and their errors, for log messages.
std::string describeMissingShards(const state::GatherRun &run,
                                  const std::vector<std::string> &shards)
{
    constexpr std::size_t MaxShards = 5;
    std::string text;
    std::size_t count = 0;
    for (std::size_t i = 0; i < shards.size() && count < MaxShards; ++i) {
        if (run.parts()[i])
            continue;
        const auto error = run.errorOf(i);
        text.append(count++ == 0 ? "" : " ").append(shards[i]).append(":");
        text.append(error ? enumName(protocol::SubErrorNames, *error) : "no_reply_yet");
    }
    return text;
}

CallerReply refuseCaller(const std::string &reason, transport::Duration wait)
{
    const auto jitteredWait = std::chrono::duration_cast<transport::Duration>(
            std::max<transport::Duration>(wait, MinRetryAfter) * randomJitter());
    const auto retryAfter = formatSeconds(jitteredWait);
    CallerResponse response;
    response.status = ServiceUnavailableStatus;
    response.headers.push_back({"Retry-After", retryAfter});
    return {std::move(response), "refused", {{"reason", reason}, {"retry_after", retryAfter}}};
}

CallerReply refuseOnThisHost(const std::string &reason, transport::Duration wait)
{
    auto reply = refuseCaller(reason, wait);
    reply.hostRefusal = reason;
    return reply;
}

CallerReply failCaller(int status, const std::string &reason)
{
    CallerResponse response;
    response.status = status;
    return {std::move(response), "failed", {{"reason", reason}}};
}

CallerReply makeGatheredReply(const HeaderNames &names, const std::string &requestId,
                              const state::GatherSettings &gather, const state::GatherRun &run)
{
    const auto parts = std::to_string(run.partCount());
    const auto leftOut = describeMissingShards(run, gather.shards);
    std::string signatures;
    std::vector<std::string_view> bodies;
    for (const auto &part : run.parts()) {
        if (!part)
            continue;
        signatures.append(signatures.empty() ? "" : ", ").append(part->signature);
        bodies.emplace_back(part->body);
    }
    const auto missing = std::to_string(gather.shards.size() - run.partCount());
    CallerResponse response;
    response.headers = {{names.requestId, requestId},
                        {names.partSignatures, signatures},
                        {names.missingParts, missing},
                        {"Content-Type", "application/octet-stream"}};
    response.body = state::mergeTopRecords(bodies, gather.topRecords);
    return {std::move(response),
            std::string(enumName(state::GatherOutcomeNames, run.outcome())),
            {{"parts", parts}, {"missing", missing}, {"left_out", leftOut}}};
}

} // namespace persimmon::forward
