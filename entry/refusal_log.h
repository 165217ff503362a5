#pragma once

#include "protocol/caller_messages.h"

#include <json/value.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <string>

namespace persimmon::entry {

/// One request that did not end as done.
struct RefusalRow
{
    std::chrono::system_clock::time_point time;
    std::string requestId;
    std::string caller;
    std::string profile;
    protocol::Outcome outcome = protocol::Outcome::NotRun;
    protocol::CallerError error = protocol::CallerError::None;
    std::string message;
    /// Configuration revision in force at the time.
    std::uint64_t configRevision = 0;
};

/// Keeps the last requests that did not end as done, so that operators can see why. Thread-safe.
class RefusalLog
{
public:
    static constexpr std::size_t Capacity = 256;

    void add(RefusalRow row);

    /// @param requestId id to select; empty for all rows.
    /// @return the answer of the admin method `explain_refusal`, newest row first.
    Json::Value explain(const std::string &requestId) const;

private:
    mutable std::mutex mutex_;
    std::deque<RefusalRow> rows_;
};

} // namespace persimmon::entry
