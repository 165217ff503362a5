#pragma once

#include "protocol/platform_messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::protocol {

/// Fingerprint whose queries are refused on all hosts until the quarantine expires.
struct QuarantineEntry
{
    std::uint64_t fingerprint = 0;
    /// Time until the quarantine expires, measured by the sender when the message was sent.
    std::chrono::milliseconds expiresIn{0};

    bool operator==(const QuarantineEntry &) const = default;
};

/// Host that has announced its graceful shutdown.
struct LeavingEntry
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds expiresIn{0};

    bool operator==(const LeavingEntry &) const = default;
};

/// Incarnation of a host's entry daemon, as recorded by the agent of that host. Agents distribute
/// it by exchange, so that any entry can include the home of another entry in a locate response.
struct EntryIncarnation
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// Epoch of that entry when the record was created.
    std::uint64_t epoch = 0;
    /// Incremented with each change; the record of a host with the highest version is kept.
    std::uint64_t version = 0;

    bool operator==(const EntryIncarnation &) const = default;
};

/// Difference between two revisions of the host list.
struct HostsDelta
{
    /// Added and changed rows.
    std::vector<HostRecord> changed;
    /// Names of removed rows.
    std::vector<std::string> removed;

    bool operator==(const HostsDelta &) const = default;
};

/// Request of an exchange: the revisions that the requester has and the state that it reports.
struct ViewRequest
{
    std::string host;
    std::uint64_t configRevision = 0;
    /// Hash over all (key, revision) pairs of the requester.
    std::uint64_t configDigest = 0;
    /// Whether all entries are requested, because digests differed at equal revisions.
    bool wantAll = false;
    std::uint64_t hostsRevision = 0;
    std::vector<QuarantineEntry> quarantine;
    std::vector<LeavingEntry> leaving;
    std::vector<EntryIncarnation> incarnations;
    std::uint64_t configEra = 1;
    std::uint64_t hostsEra = 1;
    /// Whether the requester has adopted the state of the service after the restore that began the
    /// era.
    bool configReconciled = true;
    bool hostsReconciled = true;

    HistoryPosition configPosition() const { return {configEra, configRevision}; }
    HistoryPosition hostsPosition() const { return {hostsEra, hostsRevision}; }
    bool operator==(const ViewRequest &) const = default;
};

/// Response of an exchange: the state of the responder that the requester does not have.
struct ViewResponse
{
    std::string host;
    std::uint64_t configRevision = 0;
    std::uint64_t configDigest = 0;
    std::vector<ConfigEntry> entries;
    std::uint64_t hostsRevision = 0;
    /// Hash over all host rows of the responder, used to verify a list after applying a delta.
    std::uint64_t hostsDigest = 0;
    /// Complete list, if the responder cannot compute the changes since the requester's revision.
    std::optional<std::vector<HostRecord>> hosts;
    std::optional<HostsDelta> hostsDelta;
    std::vector<QuarantineEntry> quarantine;
    std::vector<LeavingEntry> leaving;
    std::vector<EntryIncarnation> incarnations;
    /// Time since the responder's view was last confirmed by the service or by a confirmed peer.
    std::chrono::milliseconds confirmedAge{0};
    /// Whether the responder has a complete view (false while an agent starts).
    bool ready = false;
    std::uint64_t configEra = 1;
    std::uint64_t hostsEra = 1;
    /// Whether the responder has adopted the state of the service after the restore that began the
    /// era.
    bool configReconciled = true;
    bool hostsReconciled = true;
    /// Whether the entries are all that the responder has.
    bool configComplete = false;

    HistoryPosition configPosition() const { return {configEra, configRevision}; }
    HistoryPosition hostsPosition() const { return {hostsEra, hostsRevision}; }
    bool operator==(const ViewResponse &) const = default;
};

} // namespace persimmon::protocol
