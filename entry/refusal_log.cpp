#include "entry/refusal_log.h"

namespace persimmon::entry {

namespace {

Json::Value toJson(const RefusalRecord &refusal)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    Json::Value value;
    value["unix_ms"] =
            Json::Int64(duration_cast<milliseconds>(refusal.time.time_since_epoch()).count());
    value["request_id"] = refusal.requestId;
    value["caller"] = refusal.caller;
    value["profile"] = refusal.profile;
    value["outcome"] = std::string(enumName(protocol::OutcomeNames, refusal.outcome));
    value["error"] = std::string(protocol::callerErrorName(refusal.error));
    value["message"] = refusal.message;
    value["config_revision"] = Json::UInt64(refusal.configRevision);
    return value;
}

} // namespace

void RefusalLog::add(RefusalRecord refusal)
{
    const std::lock_guard lock(mutex_);
    refusals_.push_front(std::move(refusal));
    if (refusals_.size() > Capacity)
        refusals_.pop_back();
}

Json::Value RefusalLog::explain(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    Json::Value answer;
    answer["refusals"] = Json::Value(Json::arrayValue);
    for (const auto &refusal : refusals_) {
        if (requestId.empty() || refusal.requestId == requestId)
            answer["refusals"].append(toJson(refusal));
    }
    return answer;
}

} // namespace persimmon::entry
