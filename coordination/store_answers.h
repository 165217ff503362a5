#pragma once

#include "state/store_availability.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace persimmon::coordination {

/// Ages of state::FailingSpan.
struct FailingAges
{
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};

    bool operator==(const FailingAges &) const = default;
};

/// What a host tells others of the store's answers, as times before the message.
struct StoreAnswerAges
{
    std::uint64_t era = 0;
    /// Age of state::AnsweringPeriod::since.
    std::chrono::milliseconds since{0};
    /// Age of the last known answer.
    std::chrono::milliseconds last{0};
    /// Age of state::AnsweringPeriod::outageSince. Hosts of earlier versions leave it out.
    std::optional<std::chrono::milliseconds> outageSince = std::nullopt;
    /// Failures since the last answer. Hosts of earlier versions leave them out.
    std::optional<FailingAges> failing = std::nullopt;

    bool operator==(const StoreAnswerAges &) const = default;
};

/// @return what is known at @p now; std::nullopt if no answer is.
std::optional<StoreAnswerAges> toAges(const state::StoreAvailability &store, state::TimePoint now);

/// Merges what the sender of a reply knows, so that no error makes a failing span longer, or an
/// answer newer, than it is.
/// @param sentAt when this host sent the request. The reply was written later, but if this process
///        has stood still since, possibly long before it is read.
void mergeAges(const StoreAnswerAges &ages, state::TimePoint sentAt, state::TimePoint now,
               state::StoreAvailability &store);

/// Serializes ages as columns.
boost::json::array writeStoreAnswers(const StoreAnswerAges &ages);

/// Parses columns.
/// @throw std::exception if a column is missing, of another type or out of range.
StoreAnswerAges readStoreAnswers(const boost::json::array &columns);

} // namespace persimmon::coordination
