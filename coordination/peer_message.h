#pragma once

#include "coordination/coordination_error.h"
#include "state/entry_membership.h"
#include "state/record_mirror.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::coordination {

/// What one host tells another.
struct PeerMessage
{
    /// Rows of hosts, the sender's first; only the sender's when the receiver holds the same rows.
    std::vector<state::EntryRow> rows;
    std::vector<state::Heartbeat> heartbeats;
    /// EntryMembership::digest() of the sender.
    std::uint64_t digest = 0;
    /// Revision up to which the sender knows the platform's store.
    std::uint64_t revision = 0;
    /// Whether the sender asks for the rows of all hosts.
    bool wantsRows = false;
    /// Whether the sender asks for records after its revision.
    bool wantsRecords = false;
    /// What the asker lacks; its revision is that of the message.
    std::optional<state::RecordDelta> delta;

    bool operator==(const PeerMessage &) const = default;
};

/// @return @p message as JSON text.
std::string encodePeerMessage(const PeerMessage &message);

/// @return the message, or Malformed.
Result<PeerMessage, CoordinationError> decodePeerMessage(const std::string &text);

} // namespace persimmon::coordination
