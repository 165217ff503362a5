#pragma once

#include "coordination/coordination_error.h"
#include "state/crash_evidence.h"
#include "state/entry_membership.h"
#include "state/record_mirror.h"
#include "state/upstream_restrictions.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::coordination {

/// Ages of state::FailingSpan.
struct FailingAges
{
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};

    bool operator==(const FailingAges &) const = default;
};

/// What a host knows of the store's answers, as times before the message.
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

/// Request or reply exchanged between two hosts.
struct PeerMessage
{
    /// Member states, the sender's first. Only the sender's if the digest last received from the
    /// receiver equals that of the sender.
    std::vector<state::MemberState> members;
    std::vector<state::MemberHeartbeat> heartbeats;
    /// EntryMembership::digest() of the sender.
    std::uint64_t digest = 0;
    /// Position in the store of the sender's record mirror.
    state::StorePosition position;
    /// Whether the sender's record mirror is reconciled with the era of the store.
    bool isReconciled = false;
    /// Hosts of earlier versions leave it out.
    std::optional<StoreAnswerAges> storeAnswers;
    /// Whether the sender requests the states of all members.
    bool wantsMembers = false;
    /// Whether the sender requests the records after its position.
    bool wantsRecords = false;
    /// Upstreams that crashed during requests.
    std::vector<state::CrashReport> crashReports;
    /// Restrictions that upstreams have stated.
    std::vector<state::RestrictionReport> restrictions;
    /// Records that the requester lacks; on the wire, their position is that of the message.
    std::optional<state::RecordDelta> delta;

    bool operator==(const PeerMessage &) const = default;
};

/// Serializes a message as JSON text.
std::string encodePeerMessage(const PeerMessage &message);

/// Parses a message.
/// @return the message, or InvalidAnswer if @p text is malformed.
Result<PeerMessage, CoordinationError> decodePeerMessage(const std::string &text);

} // namespace persimmon::coordination
