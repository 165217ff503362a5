#pragma once

#include "protocol/history_position.h"
#include "protocol/protocol_error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::protocol {

/// Configuration key and value with the revision of the last change.
struct ConfigEntry
{
    std::string key;
    std::uint64_t revision = 0;
    /// JSON text of the value; std::nullopt if the key was deleted.
    std::optional<std::string> value;
    /// Era in which the value was written.
    std::uint64_t era = 1;

    HistoryPosition position() const { return {era, revision}; }
    bool operator==(const ConfigEntry &) const = default;
};

/// Response of the configuration service: the newest value of each key that changed since the
/// requested position, or of all keys if that position is of an
/// earlier era.
struct ConfigResponse
{
    std::uint64_t revision = 0;
    std::vector<ConfigEntry> entries;
    std::uint64_t era = 1;
    /// Whether the entries are all that the service has.
    bool isComplete = false;
    /// Why rows of a decoded response were left out; not sent.
    std::vector<ProtocolError> invalidRows = {};

    HistoryPosition position() const { return {era, revision}; }
    bool operator==(const ConfigResponse &) const = default;
};

enum class HostKind { Entry, Upstream };

inline constexpr std::array<EnumName<HostKind>, 2> HostKindNames{{
        {HostKind::Entry, "entry"},
        {HostKind::Upstream, "upstream"},
}};

enum class HostState { Live, Leaving };

inline constexpr std::array<EnumName<HostState>, 2> HostStateNames{{
        {HostState::Live, "live"},
        {HostState::Leaving, "leaving"},
}};

/// Row of the host list.
struct HostRecord
{
    std::string name;
    HostKind kind = HostKind::Entry;
    /// IP address of an entry host, IP:port of an upstream.
    std::string address;
    std::string failureDomain;
    /// Service of an upstream; empty for an entry host.
    std::string service;
    HostState state = HostState::Live;
    /// Era in which the row was written, and its revision; 0 if the service does not state it.
    std::uint64_t era = 1;
    std::uint64_t revision = 0;

    HistoryPosition position() const { return {era, revision}; }
    bool operator==(const HostRecord &) const = default;
};

/// Response with the host list: the complete list, or std::nullopt if it has not changed since the
/// requested position.
struct HostsResponse
{
    std::uint64_t revision = 0;
    std::optional<std::vector<HostRecord>> hosts;
    std::uint64_t era = 1;
    /// Why rows of a decoded response were left out; not sent.
    std::vector<ProtocolError> invalidRows = {};

    HistoryPosition position() const { return {era, revision}; }
    bool operator==(const HostsResponse &) const = default;
};

} // namespace persimmon::protocol
