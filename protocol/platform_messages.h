#pragma once

#include "protocol/protocol_error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::protocol {

/// One key of the configuration with the revision of its last change.
struct ConfigEntry
{
    std::string key;
    std::uint64_t revision = 0;
    /// JSON text; nothing means that the key was deleted.
    std::optional<std::string> value;

    bool operator==(const ConfigEntry &) const = default;
};

/// Answer of the configuration service: the newest value of each key changed since the asked
/// revision.
struct ConfigResponse
{
    std::uint64_t revision = 0;
    std::vector<ConfigEntry> entries;

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

/// One row of the host list.
struct HostRecord
{
    std::string name;
    HostKind kind = HostKind::Entry;
    /// IP number of an entry host, IP:port of an upstream.
    std::string address;
    std::string failureDomain;
    /// Service of an upstream; empty for an entry host.
    std::string service;
    HostState state = HostState::Live;

    bool operator==(const HostRecord &) const = default;
};

/// Answer of the host list; always the whole list, or none when nothing changed since the asked
/// revision.
struct HostsResponse
{
    std::uint64_t revision = 0;
    std::optional<std::vector<HostRecord>> hosts;

    bool operator==(const HostsResponse &) const = default;
};

} // namespace persimmon::protocol
