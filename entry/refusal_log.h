#pragma once

#include "protocol/caller_messages.h"

#include <json/value.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <string>

namespace persimmon::entry {

/// A request without the outcome "done".
struct RefusalRecord
{
    std::chrono::system_clock::time_point time;
    std::string requestId;
    std::string caller;
    std::string profile;
    protocol::Outcome outcome = protocol::Outcome::NotRun;
    protocol::CallerError error = protocol::CallerError::None;
    std::string message;
    /// Configuration revision at the time of the answer.
    std::uint64_t configRevision = 0;
};

/// Stores the most recent requests without the outcome "done" for operators. Thread-safe.
class RefusalLog
{
public:
    static constexpr std::size_t Capacity = 256;

    /// Adds a record and removes the oldest one if the log is full.
    void add(RefusalRecord refusal);

    /// @param requestId id to select; empty selects all records.
    /// @return the answer of the admin method `explain_refusal`, newest record first.
    Json::Value explain(const std::string &requestId) const;

private:
    mutable std::mutex mutex_;
    std::deque<RefusalRecord> refusals_;
};

} // namespace persimmon::entry
