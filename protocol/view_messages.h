#pragma once

#include "protocol/platform_messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::protocol {

/// A fingerprint that is refused everywhere until it expires.
struct QuarantineEntry
{
    std::uint64_t fingerprint = 0;
    /// Time until the entry expires, as the sender sees it.
    std::chrono::milliseconds expiresIn{0};

    bool operator==(const QuarantineEntry &) const = default;
};

/// A host that announced its graceful shutdown.
struct LeavingEntry
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds expiresIn{0};

    bool operator==(const LeavingEntry &) const = default;
};

/// Incarnation of the entry daemon of a host, as its agent knows it. Peers learn it by exchange,
/// so that any entry can name the home of another in a locate answer.
struct EntryIncarnation
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// Epoch of that entry when the row was made.
    std::uint64_t epoch = 0;
    /// Rises with each change; a higher version of the same host wins.
    std::uint64_t version = 0;

    bool operator==(const EntryIncarnation &) const = default;
};

/// Rows of the host list that changed between two revisions.
struct HostsDelta
{
    /// New and changed rows.
    std::vector<HostRecord> changed;
    /// Names of removed rows.
    std::vector<std::string> removed;

    bool operator==(const HostsDelta &) const = default;
};

/// What the asker of an exchange holds, and what it reports.
struct ViewRequest
{
    std::string host;
    std::uint64_t configRevision = 0;
    /// Hash over all (key, revision) pairs that the asker holds.
    std::uint64_t configDigest = 0;
    /// Whether the asker wants every entry, because digests differed at equal revisions.
    bool wantAll = false;
    std::uint64_t hostsRevision = 0;
    std::vector<QuarantineEntry> quarantine;
    std::vector<LeavingEntry> leaving;
    std::vector<EntryIncarnation> incarnations;

    bool operator==(const ViewRequest &) const = default;
};

/// What the answerer of an exchange holds that the asker lacks.
struct ViewResponse
{
    std::string host;
    std::uint64_t configRevision = 0;
    std::uint64_t configDigest = 0;
    std::vector<ConfigEntry> entries;
    std::uint64_t hostsRevision = 0;
    /// Hash over all host rows of the answerer, to check a list that was updated by a delta.
    std::uint64_t hostsDigest = 0;
    /// The whole list, when the answerer cannot state what changed since the asker's revision.
    std::optional<std::vector<HostRecord>> hosts;
    std::optional<HostsDelta> hostsDelta;
    std::vector<QuarantineEntry> quarantine;
    std::vector<LeavingEntry> leaving;
    std::vector<EntryIncarnation> incarnations;
    /// Age of the answerer's last confirmation by the service or by a confirmed peer.
    std::chrono::milliseconds confirmedAge{0};
    /// Whether the answerer has a complete view (false while an agent starts).
    bool ready = false;

    bool operator==(const ViewResponse &) const = default;
};

} // namespace persimmon::protocol
