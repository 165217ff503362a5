#include "entry/refusal_log.h"

namespace persimmon::entry {

namespace {

Json::Value describe(const RefusalRow &row)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    Json::Value value;
    value["unix_ms"] =
            Json::Int64(duration_cast<milliseconds>(row.time.time_since_epoch()).count());
    value["request_id"] = row.requestId;
    value["caller"] = row.caller;
    value["profile"] = row.profile;
    value["outcome"] = std::string(enumName(protocol::OutcomeNames, row.outcome));
    value["error"] = std::string(protocol::callerErrorName(row.error));
    value["message"] = row.message;
    value["config_revision"] = Json::UInt64(row.configRevision);
    return value;
}

} // namespace

void RefusalLog::add(RefusalRow row)
{
    const std::lock_guard lock(mutex_);
    rows_.push_front(std::move(row));
    if (rows_.size() > Capacity)
        rows_.pop_back();
}

Json::Value RefusalLog::explain(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    Json::Value answer;
    answer["refusals"] = Json::Value(Json::arrayValue);
    for (const auto &row : rows_) {
        if (requestId.empty() || row.requestId == requestId)
            answer["refusals"].append(describe(row));
    }
    return answer;
}

} // namespace persimmon::entry
