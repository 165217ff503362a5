#pragma once

#include "coordination/coordination_error.h"
#include "coordination/store_answers.h"
#include "state/crash_evidence.h"
#include "state/entry_membership.h"
#include "state/record_mirror.h"
#include "state/upstream_restrictions.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::coordination {

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
